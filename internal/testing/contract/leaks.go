package contract

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// waitTimeout is the timeout of every wait of the suites. It is long because the machine may be busy; only a failing spec
// waits that long.
const waitTimeout = 30 * time.Second

// CheckGoroutineLeaks fails each spec of the enclosing container that leaves goroutines running.
func CheckGoroutineLeaks() {
	ginkgo.BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() {
			gomega.Eventually(func() error { return goleak.Find(before) }).WithTimeout(waitTimeout).Should(gomega.Succeed())
		})
	})
}

// Clock is a manual clock: its time changes only by Advance. It is safe for concurrent use. Create it with NewClock.
type Clock struct {
	// times holds the current time; receiving it locks the clock.
	times chan time.Time
}

// NewClock returns a clock whose time is start.
func NewClock(start time.Time) *Clock {
	c := &Clock{times: make(chan time.Time, 1)}
	c.times <- start
	return c
}

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	now := <-c.times
	c.times <- now
	return now
}

// Advance moves the clock forward by d.
func (c *Clock) Advance(d time.Duration) {
	c.times <- (<-c.times).Add(d)
}
