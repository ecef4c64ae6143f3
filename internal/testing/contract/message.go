package contract

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
)

// MessageFault is a fault of a backend server that receives opaque messages.
type MessageFault uint8

// The faults that a harness can set.
const (
	// MessageHealthy is no fault: the server runs and answers messages.
	MessageHealthy MessageFault = iota
	// MessageShed makes the server refuse messages and state that it did not run them.
	MessageShed
	// MessageFailed makes the server run messages and report an error.
	MessageFailed
	// MessageReplyLost makes the server run messages and reset the connection instead of replying.
	MessageReplyLost
	// MessageTruncated makes the server run messages and end its replies early.
	MessageTruncated
	// MessageUnsigned makes the server reply without its signature.
	MessageUnsigned
	// MessageSilent makes the server run messages and never reply.
	MessageSilent
	// MessageReplaced puts another server at the address.
	MessageReplaced
	// MessageSaturated gives the server one slot, which another message holds, and no queue.
	MessageSaturated
	// MessageRefused closes the listener at the address.
	MessageRefused
)

// MessageHarness is a backend server that takes opaque messages and a factory of the clients under test.
type MessageHarness struct {
	// Connect returns a client that holds at most the given number of connections.
	Connect func(connections int) backend.Server
	// SetFault replaces the active fault.
	SetFault func(MessageFault)
	// Runs returns how many times the message with the given id ran, Cancelled how many messages were cancelled while they
	// ran, and PeakConnections the largest number of connections open at a time.
	Runs            func(id string) int
	Cancelled       func() int
	PeakConnections func() int
	// Body is the reply body of a healthy server.
	Body string
}

// messageTimeout is the timeout of a message.
const messageTimeout = 400 * time.Millisecond

// Messages defines the specs of backend.Server for requests that carry opaque messages. open returns the harness of a healthy
// server and registers its cleanup.
func Messages(open func() *MessageHarness) {
	CheckGoroutineLeaks()
	var h *MessageHarness
	ginkgo.BeforeEach(func() { h = open() })
	messageOutcomes(&h)
	messageConnections(&h)
}

// message returns a message with a header, a body and a query string.
func message(id, method, body string) *backend.Message {
	return &backend.Message{
		ID: id, Method: method, Target: "/x?y=1", Host: "h", Header: http.Header{"X-Kept": {"1"}}, Body: []byte(body),
	}
}

// messageOutcomes checks what a status says about whether a message ran. A caller may be told that its request did not run
// only if the status proves it.
func messageOutcomes(h **MessageHarness) {
	ginkgo.DescribeTable("states correctly whether a message ran",
		func(fault MessageFault, want backend.Status, runs int) {
			(*h).SetFault(fault)
			client := (*h).Connect(2)
			for n := range 3 {
				id := fmt.Sprintf("q%d", n)
				ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
				q := client.Query(ctx, backend.QueryRequest{Message: message(id, http.MethodGet, ""), Deadline: time.Now().Add(messageTimeout)})
				cancel()
				gomega.Expect(q.Status.String()).To(gomega.Equal(want.String()))
				gomega.Expect((*h).Runs(id)).To(gomega.Equal(runs))
				id = fmt.Sprintf("x%d", n)
				ctx, cancel = context.WithTimeout(context.Background(), messageTimeout)
				x := client.Execute(ctx, backend.ExecuteRequest{Message: message(id, http.MethodPost, "b"), Deadline: time.Now().Add(messageTimeout)})
				cancel()
				gomega.Expect(x.Status.String()).To(gomega.Equal(want.String()))
				gomega.Expect((*h).Runs(id)).To(gomega.Equal(runs))
				gomega.Expect(x.Status.ProvablyNotRun()).To(gomega.Equal(runs == 0))
				if want == backend.StatusOK {
					gomega.Expect(string(q.Reply.Message.Body)).To(gomega.Equal((*h).Body))
					gomega.Expect(x.Message.Signatures).To(gomega.HaveLen(1))
				}
			}
		},
		ginkgo.Entry("a healthy server", MessageHealthy, backend.StatusOK, 1),
		ginkgo.Entry("a server that sheds", MessageShed, backend.StatusShed, 0),
		ginkgo.Entry("a server that fails", MessageFailed, backend.StatusFailed, 1),
		ginkgo.Entry("a lost reply", MessageReplyLost, backend.StatusLost, 1),
		ginkgo.Entry("a truncated reply", MessageTruncated, backend.StatusLost, 1),
		ginkgo.Entry("a reply without a signature", MessageUnsigned, backend.StatusMismatched, 1),
		ginkgo.Entry("a server that never replies", MessageSilent, backend.StatusLost, 1),
		ginkgo.Entry("another server at the address", MessageReplaced, backend.StatusReplaced, 0),
		ginkgo.Entry("a server without a free slot", MessageSaturated, backend.StatusShed, 0),
		ginkgo.Entry("a refused connection", MessageRefused, backend.StatusUnreachable, 0),
	)
	ginkgo.It("cancels a running message when the caller's context ends", func() {
		(*h).SetFault(MessageSilent)
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout/4)
		defer cancel()
		client := (*h).Connect(2)
		client.Query(ctx, backend.QueryRequest{Message: message("q", http.MethodGet, ""), Deadline: time.Now().Add(time.Minute)})
		gomega.Eventually((*h).Cancelled).WithTimeout(messageTimeout).Should(gomega.Equal(1))
	})
}

// messageConnections checks that a client does not exceed its number of connections.
func messageConnections(h **MessageHarness) {
	ginkgo.It("holds no more connections than its limit and answers all requests", func() {
		client := (*h).Connect(2)
		statuses := make(chan backend.Status, 20)
		for n := range cap(statuses) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				m := message(fmt.Sprintf("q%d", n), http.MethodGet, "")
				statuses <- client.Query(ctx, backend.QueryRequest{Message: m, Deadline: time.Now().Add(time.Minute)}).Status
			}()
		}
		for range cap(statuses) {
			gomega.Expect(<-statuses).To(gomega.Equal(backend.StatusOK))
		}
		gomega.Expect((*h).PeakConnections()).To(gomega.BeNumerically("<=", 2))
	})
}
