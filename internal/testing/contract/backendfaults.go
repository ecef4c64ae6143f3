package contract

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

// backendFault is one row of the table of faults.
type backendFault struct {
	// set puts the fault in force and returns what undoes it; nil if nothing has to be.
	set func(*BackendHarness) (undo func())
	// within is the time to the deadline; 0 means an hour.
	within time.Duration
	want   backend.Status
	// runs is how often the server starts the request.
	runs int
}

// inForce returns a set function for faults.
func inForce(f backendserver.Faults) func(*BackendHarness) func() {
	return func(h *BackendHarness) func() {
		h.Server.SetFaults(f)
		return nil
	}
}

func refuseConnections(h *BackendHarness) func() {
	h.Server.Crash()
	h.CloseIdleConnections()
	return nil
}

// backendFaults checks what a status says about whether the request ran, for both kinds of requests. Each is sent on a
// connection that was used before, on which net/http may resend.
func backendFaults(h **BackendHarness) {
	check := func(c backendFault, send func(backend.Server, time.Time) backend.Status) {
		ginkgo.GinkgoHelper()
		client := (*h).Connect(1)
		gomega.Expect(send(client, time.Now().Add(time.Hour))).To(gomega.Equal(backend.StatusOK))
		if undo := c.set(*h); undo != nil {
			defer undo()
		}
		before := (*h).started()
		deadline := time.Now().Add(time.Hour)
		if c.within != 0 {
			deadline = time.Now().Add(c.within)
		}
		status := send(client, deadline)
		gomega.Expect(status).To(gomega.Equal(c.want))
		gomega.Expect((*h).started()-before).To(gomega.Equal(c.runs), "executions")
		gomega.Expect(status.ProvablyNotRun()).To(gomega.Equal(c.runs == 0), "proof that it did not run")
	}
	ginkgo.DescribeTable("tells whether a request ran under a fault",
		func(c backendFault) {
			check(c, (*h).sendQuery)
			(*h).reset()
			check(c, (*h).sendCommand)
		},
		ginkgo.Entry("draining", backendFault{
			set: inForce(backendserver.Faults{Draining: true}), want: backend.StatusDraining,
		}),
		ginkgo.Entry("no slot free", backendFault{
			set: (*BackendHarness).occupy, want: backend.StatusShed,
		}),
		ginkgo.Entry("deadline passed on arrival", backendFault{
			set: inForce(backendserver.Faults{}), within: -time.Second, want: backend.StatusDeadlinePassed,
		}),
		ginkgo.Entry("connection refused", backendFault{
			set: refuseConnections, want: backend.StatusUnreachable,
		}),
		ginkgo.Entry("deadline passed while running", backendFault{
			set:    inForce(backendserver.Faults{SlowFactor: endless}),
			within: time.Second, want: backend.StatusFailed, runs: 1,
		}),
		ginkgo.Entry("error", backendFault{
			set: inForce(backendserver.Faults{FailedRequests: 1}), want: backend.StatusFailed, runs: 1,
		}),
		ginkgo.Entry("connection cut after the request was written", backendFault{
			set: inForce(backendserver.Faults{LostReplies: 1}), want: backend.StatusLost, runs: 1,
		}),
		ginkgo.Entry("crossed reply", backendFault{
			set: inForce(backendserver.Faults{CrossedReplies: 1}), want: backend.StatusMismatched, runs: 1,
		}),
	)
}

// backendOverload checks what a client is told by a server that sheds or crashes.
func backendOverload(h **BackendHarness) {
	ginkgo.It("gives the hint of a server that sheds", func() {
		defer (*h).occupy()()
		result := (*h).Connect(1).Query(context.Background(), (*h).request())
		gomega.Expect(result.RetryAfter).To(gomega.Equal(backendserver.DefaultRetryAfter))
	})

	ginkgo.It("ends a request on a connection that a crash cut as lost or unreachable, and runs it at most once", func() {
		client := (*h).Connect(1)
		for range 20 {
			gomega.Expect((*h).sendCommand(client, time.Now().Add(time.Hour))).To(gomega.Equal(backend.StatusOK))
			before := (*h).started()
			(*h).Server.Crash()
			status := (*h).sendCommand(client, time.Now().Add(time.Hour))
			gomega.Expect(status).To(gomega.BeElementOf(backend.StatusLost, backend.StatusUnreachable))
			gomega.Expect((*h).started()).To(gomega.Equal(before))
			gomega.Expect((*h).Server.Restart()).To(gomega.Succeed())
			(*h).CloseIdleConnections()
		}
		for _, runs := range (*h).Server.Record().RunsByKey() {
			gomega.Expect(runs).To(gomega.Equal(1))
		}
	})
}

func (h *BackendHarness) sendQuery(client backend.Server, deadline time.Time) backend.Status {
	request := h.request()
	request.Deadline = deadline
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	return client.Query(ctx, request).Status
}

func (h *BackendHarness) sendCommand(client backend.Server, deadline time.Time) backend.Status {
	request := h.command()
	request.Deadline = deadline
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	return client.Execute(ctx, request).Status
}

// reset makes the server healthy again.
func (h *BackendHarness) reset() {
	ginkgo.GinkgoHelper()
	h.Server.Crash()
	h.CloseIdleConnections()
	h.Server.SetFaults(backendserver.Faults{})
	gomega.Expect(h.Server.Restart()).To(gomega.Succeed())
}
