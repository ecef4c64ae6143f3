package pool

import (
	"sync"
	"sync/atomic"
)

// Source returns the next piece of work. It blocks until there is one, and returns false if there will be no more.
type Source func() (work func(), ok bool)

// maxIdleWorkers is the maximum number of workers of a pool that wait for work; further workers exit when their work is done.
// Each idle worker costs the memory of its stack and the time that the garbage collector takes to scan it.
const maxIdleWorkers = 4

// Pool runs the work of one source on a bounded number of workers. It starts workers on demand.
type Pool struct {
	source Source
	limit  int64
	// workers counts all workers, idle those that wait for work.
	workers, idle atomic.Int64
	wg            sync.WaitGroup
}

// Start starts a pool of at most limit workers that run the work of source.
func Start(limit int, source Source) *Pool {
	p := &Pool{source: source, limit: int64(limit)}
	p.startWorker()
	return p
}

// startWorker starts a worker unless the limit is reached.
func (p *Pool) startWorker() {
	if p.workers.Add(1) > p.limit {
		p.workers.Add(-1)
		return
	}
	p.wg.Go(p.run)
}

// run runs work until the source has no more or there are enough other idle workers.
func (p *Pool) run() {
	defer p.workers.Add(-1)
	for p.becomeIdle() {
		work, ok := p.source()
		otherIdle := p.idle.Add(-1)
		if !ok {
			return
		}
		if otherIdle == 0 {
			p.startWorker()
		}
		work()
	}
}

// becomeIdle counts the worker as idle, or returns false if the worker must exit. While there are fewer workers than the
// limit, at least one is idle, so that work never waits until other work is done.
func (p *Pool) becomeIdle() bool {
	for p.idle.Add(1) > maxIdleWorkers {
		if p.idle.Add(-1) > 0 {
			return false
		}
	}
	return true
}

// Wait waits until the source has no more work and all workers have exited.
func (p *Pool) Wait() { p.wg.Wait() }
