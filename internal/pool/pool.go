package pool

import "sync"

// Source yields work: it blocks until there is some and returns false when there will be no more.
type Source func() (work func(), ok bool)

// Pool is a fixed number of workers that run the work of one source.
type Pool struct {
	wg sync.WaitGroup
}

// Start starts workers goroutines on the source.
func Start(workers int, source Source) *Pool {
	p := &Pool{}
	for range workers {
		p.wg.Go(func() { run(source) })
	}
	return p
}

func run(source Source) {
	for {
		work, ok := source()
		if !ok {
			return
		}
		work()
	}
}

// Wait waits until the source has ended and all workers are done.
func (p *Pool) Wait() { p.wg.Wait() }
