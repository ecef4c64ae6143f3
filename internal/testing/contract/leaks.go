package contract

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// settle bounds every wait of the suites. It is generous because the machine may be busy; no spec waits that long
// unless it fails.
const settle = 30 * time.Second

// CheckGoroutineLeaks makes each spec of the container fail if it leaves goroutines behind.
func CheckGoroutineLeaks() {
	ginkgo.BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() {
			gomega.Eventually(func() error { return goleak.Find(before) }).WithTimeout(settle).Should(gomega.Succeed())
		})
	})
}

// Clock is a clock that moves only when told to. It is safe for concurrent use.
type Clock struct {
	times chan time.Time
}

// NewClock returns a clock that shows start.
func NewClock(start time.Time) *Clock {
	c := &Clock{times: make(chan time.Time, 1)}
	c.times <- start
	return c
}

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	now := <-c.times
	c.times <- now
	return now
}

// Advance moves the clock.
func (c *Clock) Advance(d time.Duration) {
	c.times <- (<-c.times).Add(d)
}
