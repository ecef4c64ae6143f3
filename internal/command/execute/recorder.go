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
	recordWorkers = 16
	recordQueue   = 1024
	// recordTimeout bounds the writing of one record, retries included.
	recordTimeout = 5 * time.Second
	// recordPause is the wait before the second try; it doubles with each further one.
	recordPause = 100 * time.Millisecond
)

// recordJob replaces a claim after its request ended.
type recordJob struct {
	key  ClaimKey
	next claim.Record
	// version is the version of the held claim; 0 means that it has to be read first.
	version platform.Version
	done    chan struct{}
}

// recorder writes the ends of requests to the store on a bounded pool, so that a slow store does not hold the answer
// beyond the caller's deadline and yet the record is written.
type recorder struct {
	claims ClaimStore
	log    zerolog.Logger
	jobs   chan recordJob
	quit   chan struct{}
	once   sync.Once
	pool   *pool.Pool
}

func newRecorder(claims ClaimStore, log zerolog.Logger) *recorder {
	r := &recorder{claims: claims, log: log, jobs: make(chan recordJob, recordQueue), quit: make(chan struct{})}
	r.pool = pool.Start(recordWorkers, r.next)
	return r
}

// close ends the pool once the jobs in hand are done.
func (r *recorder) close() {
	r.once.Do(func() { close(r.quit) })
	r.pool.Wait()
}

// record replaces a claim and waits until it is written or ctx ends. A record that is not written changes nothing for
// the answer: a retry is then answered as unknown.
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

// releaseLater releases a claim that may have been written.
func (r *recorder) releaseLater(key ClaimKey, held claim.Record) {
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
	for wait := recordPause; ; wait *= 2 {
		err := r.tryWrite(ctx, &job)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			// A conflict means that an earlier try took effect, since nobody else replaces a claim that is held.
			return
		}
		if errors.Is(err, platform.ErrTooLarge) || !pool.Pause(ctx, wait) {
			r.log.Warn().Err(err).Str("service", string(job.key.Service)).Str("key", job.key.Key).
				Str("state", string(job.next.State)).Msg("claim_record_failed")
			return
		}
	}
}

func (r *recorder) tryWrite(ctx context.Context, job *recordJob) error {
	if job.version == 0 {
		// A claim that is not found may still arrive.
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
