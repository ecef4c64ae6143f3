package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/pool"
)

// ErrTooManyReads means that the daemon has used up its store reads of the current window.
var ErrTooManyReads = errors.New("fleet: too many reads of the store")

const (
	readTimeout = 5 * time.Second
	readWorkers = 4
	// maxReads limits the values that a daemon reads in a readWindow. The largest configuration has about 50 parts.
	maxReads   = 128
	readWindow = 10 * time.Second
)

// readLimiter counts the store reads of a window. Only the worker that processes offers uses it.
type readLimiter struct {
	windowStart time.Time
	used        int
}

// allow reports whether n more values may be read, and counts them if so. The first read of a window may exceed maxReads.
func (l *readLimiter) allow(n int, now time.Time) bool {
	if now.Sub(l.windowStart) > readWindow {
		*l = readLimiter{windowStart: now}
	}
	if l.used+n > maxReads && l.used > 0 {
		return false
	}
	l.used += n
	return true
}

// pullFromPeer gets packed values from a peer and checks them against their hashes. Values that the peer does not have are
// absent from the result. It asks again for values that did not fit into a reply, as long as each reply contains some of the
// requested ones.
func (a *Agent) pullFromPeer(ctx context.Context, address string, hashes []configdoc.Hash) (map[configdoc.Hash][]byte, error) {
	values := make(map[configdoc.Hash][]byte, len(hashes))
	for len(hashes) > 0 {
		reply, err := a.Peers.Parts(ctx, address, hashes[:min(len(hashes), peer.MaxHashes)])
		if err != nil {
			return values, err
		}
		for _, p := range reply.Parts {
			if _, err := p.Unpack(); err != nil {
				return values, err
			}
			values[p.Hash] = p.Gzip
		}
		remaining := missingHashes(hashes, values)
		if len(remaining) == len(hashes) {
			return values, nil
		}
		hashes = remaining
	}
	return values, nil
}

func missingHashes(hashes []configdoc.Hash, values map[configdoc.Hash][]byte) []configdoc.Hash {
	var out []configdoc.Hash
	for _, h := range hashes {
		if values[h] == nil {
			out = append(out, h)
		}
	}
	return out
}

// readFromStore reads values from the store with at most readWorkers concurrent calls, and packs them. It returns an error
// unless it read all values.
func (a *Agent) readFromStore(ctx context.Context, prefix string, hashes []configdoc.Hash) (map[configdoc.Hash][]byte, error) {
	values := make(map[configdoc.Hash][]byte, len(hashes))
	if len(hashes) == 0 {
		return values, nil
	}
	if !a.reads.allow(len(hashes), time.Now()) {
		return values, ErrTooManyReads
	}
	type result struct {
		hash  configdoc.Hash
		value []byte
		err   error
	}
	todo := make(chan configdoc.Hash, len(hashes))
	results := make(chan result, len(hashes))
	for _, h := range hashes {
		todo <- h
	}
	close(todo)
	pool.Start(min(readWorkers, len(hashes)), func() (func(), bool) {
		h, ok := <-todo
		return func() {
			value, err := a.readValue(ctx, prefix, h)
			results <- result{hash: h, value: value, err: err}
		}, ok
	})
	var errs error
	for range hashes {
		r := <-results
		if r.err == nil {
			values[r.hash] = configdoc.Pack(r.value)
		}
		errs = errors.CombineErrors(errs, r.err)
	}
	return values, errs
}

// readHead reads the root with the given hash from the store. The store has the parts of the head only, and keeps records of
// earlier revisions. For the root of an earlier revision readHead returns ErrMissing, and peers report the newer one.
func (a *Agent) readHead(ctx context.Context, hash configdoc.Hash) ([]byte, error) {
	if !a.reads.allow(1, time.Now()) {
		return nil, ErrTooManyReads
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.Store.Get(ctx, configdoc.KeyHead)
	a.recordStoreResult(err)
	if err != nil {
		return nil, err
	}
	if configdoc.HashOf(e.Value) != hash {
		return nil, errors.Wrapf(ErrMissing, "root %s is not the head", hash)
	}
	return e.Value, nil
}

// readValue reads one value. A value that does not match its hash is corrupt, since hashes name immutable values.
func (a *Agent) readValue(ctx context.Context, prefix string, hash configdoc.Hash) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.Store.Get(ctx, prefix+string(hash))
	a.recordStoreResult(err)
	if err != nil {
		return nil, err
	}
	if configdoc.HashOf(e.Value) != hash {
		return nil, errors.Wrapf(configdoc.ErrCorrupt, "value %s in the store", hash)
	}
	return e.Value, nil
}
