package refusal_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/refusal"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestRefusal(t *testing.T) { suite.Run(t, "./internal/decision/refusal") }

var _ = It("callers that are refused together come back spread, and with time left to be served", func() {
	// Guards against a flood that returns as one.
	const left = 1500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	earliest, latest := time.Hour, time.Duration(0)
	for range 1000 {
		d := refusal.RetryAfter(left, rnd)
		earliest, latest = min(earliest, d), max(latest, d)
	}
	Expect(latest).To(BeNumerically("<", left/2))
	Expect(latest - earliest).To(BeNumerically(">", left/6))
	Expect(refusal.RetryAfter(0, rnd)).To(BeNumerically(">", 0))
})
