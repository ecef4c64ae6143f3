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

// MessageFault is how a server of a platform treats the messages that it gets.
type MessageFault uint8

// The faults.
const (
	// MessageHealthy: messages run and are answered.
	MessageHealthy MessageFault = iota
	// MessageShed: the server states that it did not run the message.
	MessageShed
	// MessageFailed: the message runs and fails.
	MessageFailed
	// MessageReplyLost: the message runs and the connection is reset.
	MessageReplyLost
	// MessageTruncated: the message runs and the answer ends early.
	MessageTruncated
	// MessageUnsigned: the answer has no proof.
	MessageUnsigned
	// MessageSilent: the server answers nothing.
	MessageSilent
	// MessageReplaced: another server is at the address.
	MessageReplaced
	// MessageSaturated: the server has one slot and no queue, and runs a message already.
	MessageSaturated
	// MessageRefused: nothing listens at the address.
	MessageRefused
)

// MessageHarness is a server that takes opaque messages, with a client of it.
type MessageHarness struct {
	// Connect returns a client that holds at most that many connections.
	Connect func(connections int) backend.Server
	// SetFault makes the server behave so.
	SetFault func(MessageFault)
	// Runs returns how often the message with the given id ran, Cancelled how many of all were left while they ran, and
	// Connections the largest number of connections at a time.
	Runs            func(id string) int
	Cancelled       func() int
	PeakConnections func() int
	// Body is what a sound server answers.
	Body string
}

// messageBound is the time that a message may take.
const messageBound = 400 * time.Millisecond

// Messages describes backend.Server where it carries opaque messages. open returns a sound server and registers its cleanup.
func Messages(open func() *MessageHarness) {
	CheckGoroutineLeaks()
	var h *MessageHarness
	ginkgo.BeforeEach(func() { h = open() })
	messageOutcomes(&h)
	messageConnections(&h)
}

func message(id, method, body string) *backend.Message {
	return &backend.Message{
		ID: id, Method: method, Target: "/x?y=1", Host: "h", Header: http.Header{"X-Kept": {"1"}}, Body: []byte(body),
	}
}

// messageOutcomes checks what a status says about whether a message ran, on which truthful refusals rest.
func messageOutcomes(h **MessageHarness) {
	ginkgo.DescribeTable("says truthfully whether a message ran",
		func(fault MessageFault, want backend.Status, runs int) {
			(*h).SetFault(fault)
			client := (*h).Connect(2)
			for n := range 3 {
				id := fmt.Sprintf("q%d", n)
				ctx, cancel := context.WithTimeout(context.Background(), messageBound)
				q := client.Query(ctx, backend.QueryRequest{Message: message(id, http.MethodGet, ""), Deadline: time.Now().Add(messageBound)})
				cancel()
				gomega.Expect(q.Status.String()).To(gomega.Equal(want.String()))
				gomega.Expect((*h).Runs(id)).To(gomega.Equal(runs))
				id = fmt.Sprintf("x%d", n)
				ctx, cancel = context.WithTimeout(context.Background(), messageBound)
				x := client.Execute(ctx, backend.ExecuteRequest{Message: message(id, http.MethodPost, "b"), Deadline: time.Now().Add(messageBound)})
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
		ginkgo.Entry("a sound server", MessageHealthy, backend.StatusOK, 1),
		ginkgo.Entry("one that sheds", MessageShed, backend.StatusShed, 0),
		ginkgo.Entry("one that fails", MessageFailed, backend.StatusFailed, 1),
		ginkgo.Entry("an answer that is lost", MessageReplyLost, backend.StatusLost, 1),
		ginkgo.Entry("an answer that ends early", MessageTruncated, backend.StatusLost, 1),
		ginkgo.Entry("an answer without a proof", MessageUnsigned, backend.StatusMismatched, 1),
		ginkgo.Entry("a server that answers nothing", MessageSilent, backend.StatusLost, 1),
		ginkgo.Entry("another server at the address", MessageReplaced, backend.StatusReplaced, 0),
		ginkgo.Entry("a server without a free slot", MessageSaturated, backend.StatusShed, 0),
		ginkgo.Entry("an address at which nothing listens", MessageRefused, backend.StatusUnreachable, 0),
	)
	ginkgo.It("stops a message whose caller leaves", func() {
		(*h).SetFault(MessageSilent)
		ctx, cancel := context.WithTimeout(context.Background(), messageBound/4)
		defer cancel()
		client := (*h).Connect(2)
		client.Query(ctx, backend.QueryRequest{Message: message("q", http.MethodGet, ""), Deadline: time.Now().Add(time.Minute)})
		gomega.Eventually((*h).Cancelled).WithTimeout(messageBound).Should(gomega.Equal(1))
	})
}

func messageConnections(h **MessageHarness) {
	ginkgo.It("holds no more connections than it may, and keeps them", func() {
		client := (*h).Connect(2)
		done := make(chan backend.Status, 20)
		for n := range cap(done) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				m := message(fmt.Sprintf("q%d", n), http.MethodGet, "")
				done <- client.Query(ctx, backend.QueryRequest{Message: m, Deadline: time.Now().Add(time.Minute)}).Status
			}()
		}
		for range cap(done) {
			gomega.Expect(<-done).To(gomega.Equal(backend.StatusOK))
		}
		gomega.Expect((*h).PeakConnections()).To(gomega.BeNumerically("<=", 2))
	})
}
