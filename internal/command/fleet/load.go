package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/pool"
)

// ErrTooManyReads means that the daemon has used up its reads of the store for now.
var ErrTooManyReads = errors.New("fleet: too many reads of the store")

const (
	readTimeout = 5 * time.Second
	readWorkers = 4
	// maxReads in readWindow bound a daemon's reads of parts. The largest configuration has about 50 parts.
	maxReads   = 128
	readWindow = 10 * time.Second
)

// readBudget counts the store reads of a window. Only the worker that takes offers uses it.
type readBudget struct {
	start time.Time
	used  int
}

func (b *readBudget) take(n int, now time.Time) bool {
	if now.Sub(b.start) > readWindow {
		*b = readBudget{start: now}
	}
	if b.used+n > maxReads && b.used > 0 {
		return false
	}
	b.used += n
	return true
}

// pull gets packed values from a peer, checked against their hashes. Values that the peer has not got are absent from the result. It asks again for values that
// did not fit into a reply, as long as each reply brings some that were asked for.
func (a *Agent) pull(ctx context.Context, address string, hashes []configdoc.Hash) (map[configdoc.Hash][]byte, error) {
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
		rest := without(hashes, values)
		if len(rest) == len(hashes) {
			return values, nil
		}
		hashes = rest
	}
	return values, nil
}

func without(hashes []configdoc.Hash, values map[configdoc.Hash][]byte) []configdoc.Hash {
	var out []configdoc.Hash
	for _, h := range hashes {
		if values[h] == nil {
			out = append(out, h)
		}
	}
	return out
}

// read gets values from the store, a few at a time, and packs them. It returns an error unless it got all.
func (a *Agent) read(ctx context.Context, prefix string, hashes []configdoc.Hash) (map[configdoc.Hash][]byte, error) {
	values := make(map[configdoc.Hash][]byte, len(hashes))
	if len(hashes) == 0 {
		return values, nil
	}
	if !a.budget.take(len(hashes), time.Now()) {
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
			value, err := a.readOne(ctx, prefix, h)
			results <- result{hash: h, value: value, err: err}
		}, ok
	})
	var failed error
	for range hashes {
		r := <-results
		if r.err == nil {
			values[r.hash] = configdoc.Pack(r.value)
		}
		failed = errors.CombineErrors(failed, r.err)
	}
	return values, failed
}

// readHead reads the root with the given hash from the store. Only the head has its parts: of earlier revisions the store
// keeps records. A daemon that asks for one of those gets ErrMissing, and peers tell it of the newer one.
func (a *Agent) readHead(ctx context.Context, hash configdoc.Hash) ([]byte, error) {
	if !a.budget.take(1, time.Now()) {
		return nil, ErrTooManyReads
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.Store.Get(ctx, configdoc.KeyHead)
	a.noteStore(err)
	if err != nil {
		return nil, err
	}
	if configdoc.HashOf(e.Value) != hash {
		return nil, errors.Wrapf(ErrMissing, "root %s is not the head", hash)
	}
	return e.Value, nil
}

// readOne reads one value. A value that does not match its hash counts as invalid: hashes name immutable values.
func (a *Agent) readOne(ctx context.Context, prefix string, hash configdoc.Hash) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.Store.Get(ctx, prefix+string(hash))
	a.noteStore(err)
	if err != nil {
		return nil, err
	}
	if configdoc.HashOf(e.Value) != hash {
		return nil, errors.Wrapf(configdoc.ErrCorrupt, "value %s in the store", hash)
	}
	return e.Value, nil
}
