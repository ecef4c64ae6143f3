package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// backendFault is a fault of a server and the status that a client must return under it.
type backendFault struct {
	// inject activates the fault. undo, which may be nil, removes it.
	inject func(*BackendHarness) (undo func())
	// timeout is the time from the request to its deadline; 0 means an hour.
	timeout time.Duration
	want    backend.Status
	// runs is how many times the server starts the request.
	runs int
}

// withFaults returns an inject function that activates f.
func withFaults(f backendserver.Faults) func(*BackendHarness) func() {
	return func(h *BackendHarness) func() {
		h.Server.SetFaults(f)
		return nil
	}
}

// refuseConnections is an inject function. It crashes the server and closes the idle connections of the clients, so that the
// next request has to open one.
func refuseConnections(h *BackendHarness) func() {
	h.Server.Crash()
	h.CloseIdleConnections()
	return nil
}

// backendFaults checks what a status says about whether the request ran, for queries and non-idempotent requests. It guards
// against a status that claims that a request did not run although it did, after which it could run twice. Each is sent on
// a connection that was used before, because net/http may resend a request on such a connection.
func backendFaults(h **BackendHarness) {
	check := func(c backendFault, send func(backend.Server, time.Time) backend.Status) {
		ginkgo.GinkgoHelper()
		client := (*h).Connect(1)
		gomega.Expect(send(client, time.Now().Add(time.Hour))).To(gomega.Equal(backend.StatusOK))
		if undo := c.inject(*h); undo != nil {
			defer undo()
		}
		before := (*h).executions()
		deadline := time.Now().Add(time.Hour)
		if c.timeout != 0 {
			deadline = time.Now().Add(c.timeout)
		}
		status := send(client, deadline)
		gomega.Expect(status).To(gomega.Equal(c.want))
		gomega.Expect((*h).executions()-before).To(gomega.Equal(c.runs), "executions")
		gomega.Expect(status.ProvablyNotRun()).To(gomega.Equal(c.runs == 0), "proof that the request did not run")
	}
	ginkgo.DescribeTable("states whether the request ran under a fault",
		func(c backendFault) {
			check(c, (*h).sendQuery)
			(*h).reset()
			check(c, (*h).sendExecute)
		},
		ginkgo.Entry("draining", backendFault{
			inject: withFaults(backendserver.Faults{Draining: true}), want: backend.StatusDraining,
		}),
		ginkgo.Entry("no slot free", backendFault{
			inject: (*BackendHarness).occupySlot, want: backend.StatusShed,
		}),
		ginkgo.Entry("deadline passed on arrival", backendFault{
			inject: withFaults(backendserver.Faults{}), timeout: -time.Second, want: backend.StatusDeadlinePassed,
		}),
		ginkgo.Entry("connection refused", backendFault{
			inject: refuseConnections, want: backend.StatusUnreachable,
		}),
		ginkgo.Entry("deadline passed while running", backendFault{
			inject:  withFaults(backendserver.Faults{SlowFactor: blockingSlowFactor}),
			timeout: time.Second, want: backend.StatusFailed, runs: 1,
		}),
		ginkgo.Entry("error", backendFault{
			inject: withFaults(backendserver.Faults{FailedRequests: 1}), want: backend.StatusFailed, runs: 1,
		}),
		ginkgo.Entry("connection cut after the request was written", backendFault{
			inject: withFaults(backendserver.Faults{LostReplies: 1}), want: backend.StatusLost, runs: 1,
		}),
		ginkgo.Entry("crossed reply", backendFault{
			inject: withFaults(backendserver.Faults{CrossedReplies: 1}), want: backend.StatusMismatched, runs: 1,
		}),
	)
}

// backendOverload checks what a client returns when the server sheds requests or crashes. It guards against retries that come
// earlier than the server asked for, and against requests that net/http sends again after a crash.
func backendOverload(h **BackendHarness) {
	ginkgo.It("returns the Retry-After hint of a server that sheds the request", func() {
		defer (*h).occupySlot()()
		result := (*h).Connect(1).Query(context.Background(), (*h).queryRequest())
		gomega.Expect(result.RetryAfter).To(gomega.Equal(backendserver.DefaultRetryAfter))
	})

	ginkgo.It("reports a request on a connection cut by a crash as lost or unreachable, and runs no request twice", func() {
		client := (*h).Connect(1)
		for range 20 {
			gomega.Expect((*h).sendExecute(client, time.Now().Add(time.Hour))).To(gomega.Equal(backend.StatusOK))
			before := (*h).executions()
			(*h).Server.Crash()
			status := (*h).sendExecute(client, time.Now().Add(time.Hour))
			gomega.Expect(status).To(gomega.BeElementOf(backend.StatusLost, backend.StatusUnreachable))
			gomega.Expect((*h).executions()).To(gomega.Equal(before))
			gomega.Expect((*h).Server.Restart()).To(gomega.Succeed())
			(*h).CloseIdleConnections()
		}
		for _, runs := range (*h).Server.Record().RunsByKey() {
			gomega.Expect(runs).To(gomega.Equal(1))
		}
	})
}

func (h *BackendHarness) sendQuery(client backend.Server, deadline time.Time) backend.Status {
	request := h.queryRequest()
	request.Deadline = deadline
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return client.Query(ctx, request).Status
}

func (h *BackendHarness) sendExecute(client backend.Server, deadline time.Time) backend.Status {
	request := h.executeRequest()
	request.Deadline = deadline
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return client.Execute(ctx, request).Status
}

// reset restarts the server without faults and without open connections.
func (h *BackendHarness) reset() {
	ginkgo.GinkgoHelper()
	h.Server.Crash()
	h.CloseIdleConnections()
	h.Server.SetFaults(backendserver.Faults{})
	gomega.Expect(h.Server.Restart()).To(gomega.Succeed())
}
