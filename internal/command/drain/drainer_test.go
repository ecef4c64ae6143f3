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

// recordingListener is a listener that records the calls of its methods.
type recordingListener struct {
	name     string
	shutdown func(context.Context) error
	steps    *stepRecorder
}

type stepRecorder struct {
	mu   sync.Mutex
	list []string
}

func (s *stepRecorder) add(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, step)
}

func (s *stepRecorder) copy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list)
}

func (r *recordingListener) Close() error { r.steps.add("close " + r.name); return nil }
func (r *recordingListener) Shutdown(ctx context.Context) error {
	r.steps.add("shutdown " + r.name)
	return r.shutdown(ctx)
}

var _ = Describe("a drain", func() {
	var calls *stepRecorder
	start := func(grace, timeout time.Duration, shutdown func(context.Context) error) *drain.Drainer {
		calls = &stepRecorder{}
		return drain.New(drain.Config{
			Grace: grace, Timeout: timeout, Log: zerolog.Nop(),
			RefuseQueued: func() { calls.add("refuse") },
			Listeners: func() []drain.Listener {
				return []drain.Listener{
					&recordingListener{name: "callers", shutdown: shutdown, steps: calls},
					&recordingListener{name: "operators", shutdown: shutdown, steps: calls},
				}
			},
		})
	}
	shutdownImmediately := func(context.Context) error { return nil }

	// Guards against refusing requests that the load balancer sends before it has noticed that the daemon is not ready.
	It("withdraws readiness first, and refuses queued work and closes ports only after the grace time", func() {
		var before, during bool
		var inGrace []string
		suite.InBubble(func() {
			d := start(time.Second, time.Minute, shutdownImmediately)
			before = d.Draining()
			d.Start("test")
			during = d.Draining()
			time.Sleep(time.Second - time.Nanosecond)
			inGrace = calls.copy()
			<-d.Done()
		})
		Expect(before).To(BeFalse())
		Expect(during).To(BeTrue())
		Expect(inGrace).To(BeEmpty())
		Expect(calls.list).To(Equal([]string{"refuse", "shutdown callers", "shutdown operators"}))
	})

	// Guards against a second signal or command that refuses work and closes ports again.
	It("runs once, however often it is started", func() {
		d := start(0, time.Minute, shutdownImmediately)
		Expect(d.Start("first")).To(BeTrue())
		Expect(d.Start("second")).To(BeFalse())
		Eventually(d.Done(), "10s").Should(BeClosed())
		Expect(calls.list).To(HaveLen(3))
	})

	// Guards against a request that never ends and keeps the instance from being replaced.
	It("is bounded by the timeout and then closes the listeners", func() {
		d := start(0, 50*time.Millisecond, func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		d.Start("test")
		Eventually(d.Done(), "10s").Should(BeClosed())
		Expect(calls.list).To(ContainElements("close callers", "close operators"))
	})

	// Guards against requests that are cut off without a response when the time is over.
	It("ends the requests in flight before it closes their connections", func() {
		var ended time.Duration
		suite.InBubble(func() {
			begin := time.Now()
			requests, endRequests := context.WithCancel(context.Background())
			d := drain.New(drain.Config{
				Grace: time.Second, Timeout: 3 * time.Second, Log: zerolog.Nop(),
				RefuseQueued: func() {}, EndRequests: endRequests,
				Listeners: func() []drain.Listener {
					return []drain.Listener{&recordingListener{name: "callers", steps: &stepRecorder{}, shutdown: func(ctx context.Context) error {
						<-requests.Done()
						ended = time.Since(begin)
						return ctx.Err()
					}}}
				},
			})
			d.Start("test")
			<-d.Done()
		})
		Expect(ended).To(BeNumerically("~", 2900*time.Millisecond, 99*time.Millisecond))
	})

	// Guards against a planned stop that interrupts a request in flight, also if the deadline of the request lies beyond the
	// drain's timeout.
	DescribeTable("lets a request in flight complete", func(timeout time.Duration, longest func() time.Duration) {
		entered, release := make(chan struct{}), make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = io.WriteString(w, "whole")
		}))
		defer srv.Close()
		d := drain.New(drain.Config{
			Timeout: timeout, LongestRequest: longest, Log: zerolog.Nop(),
			// The request ends only after the ports began to close.
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
