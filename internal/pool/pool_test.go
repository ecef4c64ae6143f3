package pool_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPool(t *testing.T) { suite.Run(t, "./internal/pool") }

const (
	limit = 20
	// workDuration is how long one piece of work takes.
	workDuration = time.Second
)

// source is a source of work that counts the workers which run work, those which wait for it, and the work done.
type source struct {
	jobs          chan struct{}
	running, idle atomic.Int64
	done          atomic.Int64
}

func newSource() *source { return &source{jobs: make(chan struct{}, 1000)} }

func (s *source) next() (func(), bool) {
	s.idle.Add(1)
	defer s.idle.Add(-1)
	_, ok := <-s.jobs
	return s.run, ok
}

func (s *source) run() {
	s.running.Add(1)
	time.Sleep(workDuration)
	s.running.Add(-1)
	s.done.Add(1)
}

func (s *source) push(n int) {
	for range n {
		s.jobs <- struct{}{}
	}
}

var _ = Describe("Pool", func() {
	It("runs as many workers as there is work for, up to the limit", func() {
		// Guards against work that waits although the limit allows another worker, and against exceeding the limit.
		var few, many int64
		suite.InBubble(func() {
			s := newSource()
			p := pool.Start(limit, s.next)
			s.push(3)
			synctest.Wait()
			few = s.running.Load()
			s.push(5 * limit)
			synctest.Wait()
			many = s.running.Load()
			close(s.jobs)
			p.Wait()
		})
		Expect(few).To(Equal(int64(3)))
		Expect(many).To(Equal(int64(limit)))
	})

	It("keeps few idle workers", func() {
		// Guards against many idle workers, whose stacks cost memory and time in every garbage collection.
		var before, after int64
		suite.InBubble(func() {
			s := newSource()
			p := pool.Start(limit, s.next)
			synctest.Wait()
			before = s.idle.Load()
			s.push(5 * limit)
			time.Sleep(10 * workDuration)
			synctest.Wait()
			after = s.idle.Load()
			close(s.jobs)
			p.Wait()
		})
		Expect(before).To(Equal(int64(1)))
		Expect(after).To(BeNumerically("<=", 4))
	})

	It("never leaves work waiting while the limit allows another worker", func() {
		// Guards against a worker that exits just as the last other idle workers take work.
		for range 200 {
			var notStarted int64
			suite.InBubble(func() {
				s := newSource()
				p := pool.Start(limit, s.next)
				for range 10 {
					s.push(limit / 2)
					time.Sleep(workDuration)
					// The previous work ends at the same time as more is pushed.
					s.push(limit / 2)
					synctest.Wait()
					notStarted = max(notStarted, limit/2-s.running.Load())
					time.Sleep(2 * workDuration)
				}
				close(s.jobs)
				p.Wait()
			})
			Expect(notStarted).To(BeZero())
		}
	})
})
