package pushback_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/pushback"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPushback(t *testing.T) { suite.Run(t, "./internal/decision/pushback") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Window", func() {
	It("is open for the whole hint, whatever other replies say meanwhile", func() {
		// Guards against requests to a server that asked for none, because a reply to an earlier request came later.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var w pushback.Window
			now, latest := start, start
			for range rapid.IntRange(1, 40).Draw(t, "replies") {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				hint := time.Duration(rapid.IntRange(-1000, 10000).Draw(t, "hint")) * time.Millisecond
				w.Observe(hint, now)
				if end := now.Add(hint); hint > 0 && end.After(latest) {
					latest = end
				}
				if want := max(0, latest.Sub(now)); w.Remaining(now) != want {
					t.Fatalf("remaining %s, want %s", w.Remaining(now), want)
				}
			}
		})
	})

	It("ends in bounded time after a huge hint", func() {
		// Guards against losing a server for good to one wrong header.
		var w pushback.Window
		w.Observe(1000*time.Hour, start)
		Expect(w.Remaining(start)).To(Equal(pushback.MaxHint))
		Expect(w.Remaining(start.Add(pushback.MaxHint))).To(BeZero())
	})
})

var _ = It("the time until enough shards are available is that of the last shard that is needed", func() {
	// Guards against telling callers to return before their request can be served.
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		rests := make([]time.Duration, rapid.IntRange(0, 12).Draw(t, "shards"))
		for i := range rests {
			rests[i] = time.Duration(rapid.IntRange(1, 9).Draw(t, "rest")) * time.Second
		}
		needed := rapid.IntRange(-2, 14).Draw(t, "needed")
		until, ok := pushback.UntilAvailable(slices.Clone(rests), needed)
		if ok != (needed > 0 && needed <= len(rests)) {
			t.Fatalf("%d needed of %v: ok is %v", needed, rests, ok)
		}
		available := 0
		for _, rest := range rests {
			if rest <= until {
				available++
			}
		}
		if ok && (available < needed || !slices.Contains(rests, until)) {
			t.Fatalf("%d needed of %v: %s", needed, rests, until)
		}
	})
})
