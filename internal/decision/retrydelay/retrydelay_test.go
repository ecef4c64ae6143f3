package retrydelay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/retrydelay"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestRetryDelay(t *testing.T) { suite.Run(t, "./internal/decision/retrydelay") }

var _ = It("distributes the retries of callers that were refused together, and leaves them time to be served", func() {
	// Guards against a burst of requests that is refused and then retried as another burst.
	const remaining = 1500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		delay := retrydelay.RetryAfter(remaining, rnd)
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	Expect(longest).To(BeNumerically("<", remaining/2))
	Expect(longest - shortest).To(BeNumerically(">", remaining/6))
	Expect(retrydelay.RetryAfter(0, rnd)).To(BeNumerically(">", 0))
})

var _ = It("no caller retries before the servers take requests again, and callers do not retry together", func() {
	// Guards against a Retry-After that is not true, and against a burst when the servers' rest ends.
	const rest, remaining = 3 * time.Second, 1500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		delay := retrydelay.AfterPushback(rest, remaining, rnd)
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	Expect(shortest).To(BeNumerically(">=", rest))
	Expect(longest - shortest).To(BeNumerically(">", remaining/6))
	Expect(retrydelay.AfterPushback(0, remaining, rnd)).To(BeNumerically("<", remaining))
})
