package execute

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
)

const (
	recordWorkers   = 16
	recordQueueSize = 1024
	// recordTimeout bounds writing one record, including retries.
	recordTimeout = 5 * time.Second
	// recordInitialBackoff is the delay before the first retry; it doubles with each further one.
	recordInitialBackoff = 100 * time.Millisecond
)

// recordJob is the replacement of a claim after its request has ended.
type recordJob struct {
	key  ClaimKey
	next claim.Record
	// version is the version of the held claim; 0 means that it has to be read first.
	version platform.Version
	done    chan struct{}
}

// recorder replaces the claims of ended requests in the store, on a bounded pool of workers: a slow store does not delay
// a response beyond the caller's deadline, and the record is still written.
type recorder struct {
	claims    ClaimStore
	log       zerolog.Logger
	jobs      chan recordJob
	quit      chan struct{}
	closeOnce sync.Once
	pool      *pool.Pool
}

func newRecorder(claims ClaimStore, log zerolog.Logger) *recorder {
	r := &recorder{claims: claims, log: log, jobs: make(chan recordJob, recordQueueSize), quit: make(chan struct{})}
	r.pool = pool.Start(recordWorkers, r.next)
	return r
}

// close stops the pool after the queued jobs are done.
func (r *recorder) close() {
	r.closeOnce.Do(func() { close(r.quit) })
	r.pool.Wait()
}

// record replaces a claim and waits until the replacement is written or ctx is cancelled. The response does not depend on
// it: if the record is not written, a retry is answered as unknown.
func (r *recorder) record(ctx context.Context, job recordJob) {
	job.done = make(chan struct{})
	if !r.submit(job) {
		return
	}
	select {
	case <-job.done:
	case <-ctx.Done():
	}
}

// releaseAsync releases a claim that may have been written, without waiting for the store.
func (r *recorder) releaseAsync(key ClaimKey, held claim.Record) {
	r.submit(recordJob{key: key, next: held.Released(), done: make(chan struct{})})
}

func (r *recorder) submit(job recordJob) bool {
	select {
	case r.jobs <- job:
		return true
	default:
	}
	r.log.Warn().Str("key", job.key.Key).Str("state", string(job.next.State)).Msg("claim_record_dropped")
	return false
}

// next implements pool.Source.
func (r *recorder) next() (func(), bool) {
	select {
	case job := <-r.jobs:
		return func() { r.write(job) }, true
	case <-r.quit:
	}
	select {
	case job := <-r.jobs:
		return func() { r.write(job) }, true
	default:
		return nil, false
	}
}

func (r *recorder) write(job recordJob) {
	defer close(job.done)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	for delay := recordInitialBackoff; ; delay *= 2 {
		err := r.tryWrite(ctx, &job)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			// A conflict means that an earlier attempt took effect, since no other request replaces a claim that is held.
			return
		}
		if errors.Is(err, platform.ErrTooLarge) || !pool.Sleep(ctx, delay) {
			r.log.Warn().Err(err).Str("service", string(job.key.Service)).Str("key", job.key.Key).
				Str("state", string(job.next.State)).Msg("claim_record_failed")
			return
		}
	}
}

func (r *recorder) tryWrite(ctx context.Context, job *recordJob) error {
	if job.version == 0 {
		// If the claim is not found, its write may still take effect, so the caller retries.
		existing, version, err := r.claims.Read(ctx, job.key)
		if err != nil {
			return err
		}
		if existing.Nonce != job.next.Nonce || existing.State != claim.StateClaimed {
			return nil
		}
		job.version = version
	}
	_, err := r.claims.Write(ctx, job.key, job.next, job.version)
	return err
}
