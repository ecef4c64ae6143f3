package drain_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/drain"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestDrain(t *testing.T) { suite.Run(t, "./internal/command/drain") }

// recorded is a listener that writes down what is done to it.
type recorded struct {
	name     string
	shutdown func(context.Context) error
	steps    *steps
}

type steps struct {
	mu   sync.Mutex
	list []string
}

func (s *steps) add(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, step)
}

func (s *steps) copy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list)
}

func (r *recorded) Close() error { r.steps.add("close " + r.name); return nil }
func (r *recorded) Shutdown(ctx context.Context) error {
	r.steps.add("shutdown " + r.name)
	return r.shutdown(ctx)
}

var _ = Describe("a drain", func() {
	var did *steps
	start := func(grace, timeout time.Duration, shutdown func(context.Context) error) *drain.Drainer {
		did = &steps{}
		return drain.New(drain.Config{
			Grace: grace, Timeout: timeout, Log: zerolog.Nop(),
			RefuseQueued: func() { did.add("refuse") },
			Listeners: func() []drain.Listener {
				return []drain.Listener{
					&recorded{name: "callers", shutdown: shutdown, steps: did},
					&recorded{name: "operators", shutdown: shutdown, steps: did},
				}
			},
		})
	}
	atOnce := func(context.Context) error { return nil }

	It("withdraws readiness first, and refuses and closes only after the grace time", func() {
		var before, during bool
		var inGrace []string
		suite.InBubble(func() {
			d := start(time.Second, time.Minute, atOnce)
			before = d.Draining()
			d.Start("test")
			during = d.Draining()
			time.Sleep(time.Second - time.Nanosecond)
			inGrace = did.copy()
			<-d.Done()
		})
		Expect(before).To(BeFalse())
		Expect(during).To(BeTrue())
		Expect(inGrace).To(BeEmpty())
		Expect(did.list).To(Equal([]string{"refuse", "shutdown callers", "shutdown operators"}))
	})

	It("happens once however often it is asked for", func() {
		d := start(0, time.Minute, atOnce)
		Expect(d.Start("first")).To(BeTrue())
		Expect(d.Start("second")).To(BeFalse())
		Eventually(d.Done(), "10s").Should(BeClosed())
		Expect(did.list).To(HaveLen(3))
	})

	// Guards against a request that never ends and keeps the instance from being replaced.
	It("is bounded by the timeout and then closes what is open", func() {
		d := start(0, 50*time.Millisecond, func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		d.Start("test")
		Eventually(d.Done(), "10s").Should(BeClosed())
		Expect(did.list).To(ContainElements("close callers", "close operators"))
	})

	// Guards against G7: a planned stop must not cut off a request in flight, not even one whose deadline lies beyond the
	// drain's timeout.
	DescribeTable("lets a request in flight end whole", func(timeout time.Duration, longest func() time.Duration) {
		entered, release := make(chan struct{}), make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = io.WriteString(w, "whole")
		}))
		defer srv.Close()
		d := drain.New(drain.Config{
			Timeout: timeout, LongestRequest: longest, Log: zerolog.Nop(),
			// The request ends only after the ports were told to close.
			RefuseQueued: func() { time.AfterFunc(100*time.Millisecond, func() { close(release) }) },
			Listeners:    func() []drain.Listener { return []drain.Listener{srv.Config} },
		})
		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := http.Get(srv.URL)
			Expect(err).NotTo(HaveOccurred())
			got, _ := io.ReadAll(resp.Body)
			body <- string(got)
		}()
		<-entered
		d.Start("test")
		Eventually(body, "10s").Should(Receive(Equal("whole")))
		Eventually(d.Done(), "10s").Should(BeClosed())
	},
		Entry("within the timeout", time.Minute, nil),
		Entry("with a deadline beyond the timeout", time.Millisecond, func() time.Duration { return time.Minute }),
	)
})
