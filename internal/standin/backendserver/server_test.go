package backendserver_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestBackendServer(t *testing.T) { suite.Run(t, "./internal/standin/backendserver") }

const waitTimeout = 30 * time.Second

var _ = Describe("the stand-in for a backend server", func() {
	contract.CheckGoroutineLeaks()

	start := func(cfg backendserver.Config) (*backendserver.Server, backend.Server) {
		cfg.Shard, cfg.Slots, cfg.Items = "s1", 1, 50
		s := backendserver.New(cfg)
		DeferCleanup(s.Close)
		Expect(s.Start("127.0.0.1:0")).To(Succeed())
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		return s, connector.Connect(&model.Server{ServerSpec: &model.ServerSpec{Address: s.Address()}}, 4)
	}
	request := func(instance string, attempt uint32) backend.QueryRequest {
		return backend.QueryRequest{
			ID:    backend.AttemptID{Request: model.RequestID(instance + "-1-1"), Attempt: attempt},
			Shard: "s1", Limit: 5, Deadline: time.Now().Add(time.Hour),
		}
	}
	send := func(ctx context.Context, client backend.Server, r backend.QueryRequest) <-chan backend.Status {
		ended := make(chan backend.Status, 1)
		go func() { ended <- client.Query(ctx, r).Status }()
		return ended
	}

	// Guards against a cancelled request that is counted as run, and against one that keeps its place in the queue.
	It("never starts a waiting request that is cancelled, and removes it from the queue", func(ctx SpecContext) {
		s, client := start(backendserver.Config{Queue: 1, ServiceTime: time.Hour})
		running := send(ctx, client, request("d1", 1))
		Eventually(s.Load).WithTimeout(waitTimeout).Should(Equal(backend.Load{Running: 1}))
		waiting := send(ctx, client, request("d1", 2))
		Eventually(s.Load).WithTimeout(waitTimeout).Should(Equal(backend.Load{Running: 1, Waiting: 1}))
		Expect(client.Query(ctx, request("d1", 3)).Status).To(Equal(backend.StatusShed))
		Expect(client.Cancel(ctx, request("d1", 2).ID)).To(BeTrue())
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive(Equal(backend.StatusCancelled)))
		Expect(s.Load()).To(Equal(backend.Load{Running: 1}))
		Expect(s.Record().Counts().Started).To(Equal(1))
		Expect(client.Cancel(ctx, request("d1", 1).ID)).To(BeTrue())
		Eventually(running).WithTimeout(waitTimeout).Should(Receive(Equal(backend.StatusCancelled)))
	})

	// Guards against a cut-off that also applies to a daemon whose name begins with the name of the one that is cut off.
	It("does not answer a daemon that is cut off and answers another daemon", func(ctx SpecContext) {
		s, client := start(backendserver.Config{})
		s.SetFaults(backendserver.Faults{CutOff: []model.InstanceID{"d1"}})
		cutOffCtx, cancel := context.WithCancel(ctx)
		unanswered := send(cutOffCtx, client, request("d1", 1))
		Expect(client.Query(ctx, request("d12", 1)).Status).To(Equal(backend.StatusOK))
		Consistently(unanswered).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		cancel()
		Eventually(unanswered).WithTimeout(waitTimeout).Should(Receive(Equal(backend.StatusCancelled)))
		Expect(s.Record().Counts().Started).To(Equal(1))
	})

	// Guards against a fault that is set and has no effect on the service time. Only lower bounds are checked, because a
	// busy machine may add any delay.
	DescribeTable("occupies the slot for at least the service time under a fault",
		func(ctx SpecContext, cfg backendserver.Config, f backendserver.Faults, minimum time.Duration) {
			cfg.ServiceTime = 5 * time.Millisecond
			s, client := start(cfg)
			s.SetFaults(f)
			Expect(client.Query(ctx, request("d1", 1)).Status).To(Equal(backend.StatusOK))
			run := s.Record().Queries()[0]
			Expect(run.End).To(Equal(backendserver.EndCompleted))
			Expect(run.Stop.Sub(run.Start)).To(BeNumerically(">=", minimum))
		},
		Entry("none", backendserver.Config{}, backendserver.Faults{}, 5*time.Millisecond),
		Entry("slow", backendserver.Config{}, backendserver.Faults{SlowFactor: 10}, 50*time.Millisecond),
		Entry("cold", backendserver.Config{ColdFor: time.Hour, ColdFactor: 4}, backendserver.Faults{},
			20*time.Millisecond),
		Entry("in the tail", backendserver.Config{TailRatio: 1, TailFactor: 6}, backendserver.Faults{},
			30*time.Millisecond),
	)

	// Guards against a crash that lets running requests complete, and against a restart under another address, which the
	// inventory does not list.
	It("stops the running requests when it crashes, and serves on the same address after a restart", func(ctx SpecContext) {
		s, client := start(backendserver.Config{ServiceTime: time.Hour})
		running := send(ctx, client, request("d1", 1))
		Eventually(s.Load).WithTimeout(waitTimeout).Should(Equal(backend.Load{Running: 1}))
		address := s.Address()
		s.Crash()
		Eventually(running).WithTimeout(waitTimeout).Should(Receive(Equal(backend.StatusLost)))
		Expect(s.Record().Queries()[0].End).To(Equal(backendserver.EndCrashed))
		Expect(s.Restart()).To(Succeed())
		Expect(s.Address()).To(Equal(address))
		Expect(client.Health(ctx)).To(Equal(backend.Health{Serving: true}))
	})
})
