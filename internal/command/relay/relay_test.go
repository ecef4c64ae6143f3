package relay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/relay"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestRelay(t *testing.T) { suite.Run(t, "./internal/command/relay") }

const requestTimeout = 300 * time.Millisecond

// send sends one request to the service w with the servers w-a and w-b, and returns the result and how many servers got it.
func send(a, b fakebackend.Script, slack float64) (relay.Result, int) {
	result, connector := sendTo(map[model.ServerName]fakebackend.Script{"w-a": a, "w-b": b}, slack)
	return result, connector.TotalQueries()
}

// sendTo is like send with the servers by name, and returns the connector, which records the requests of each server.
func sendTo(servers map[model.ServerName]fakebackend.Script, slack float64) (relay.Result, *fakebackend.Connector) {
	connector := fakebackend.New(servers)
	t := model.NewTopology(1, model.Inventory{
		MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
		Services: []model.ServiceSpec{{Name: "w", Shards: []model.ShardSpec{{Name: "w", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: "w-a", Zone: "z", Slots: 1, Connections: 4, Address: "-"}, {Name: "w-b", Zone: "z", Slots: 1, Connections: 4, Address: "-"},
		}}}}},
	}, model.Rules{Hedge: model.HedgeRule{Quantile: 0.95}})
	t.Routing = model.NewRouting(1, nil, nil, model.CallerLimits{})
	config := tables.NewConfig()
	recorder := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: connector, Policy: model.PolicyDirect}
	rule := budget.FleetRule{Slack: slack, Span: time.Millisecond}
	d := dispatch.New(dispatch.Config{
		Zone: "z", Region: "r", Workers: 4, Policy: model.PolicyDirect,
		ServiceBudgets: tables.NewServiceBudgets(rule, 1, time.Now().Add(-time.Hour)),
	}, config, recorder.Servers, recorder)
	defer d.Close()
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.ApplyTopology(t, time.Now())
	config.Install(t)
	result := (&relay.Relay{Dispatcher: d}).Run(context.Background(), relay.Request{
		Route: &model.Route{Name: "r", MaxAttempts: 2}, Topology: t, Shard: t.Service("w").Shards[0],
		Message: &backend.Message{ID: "id"}, Arrived: time.Now(), Deadline: time.Now().Add(requestTimeout),
	})
	return result, connector
}

// unlimitedSlack is a budget slack that allows any retry.
const unlimitedSlack = 1000

var _ = DescribeTable("a non-idempotent request",
	func(status backend.Status, want model.Outcome, servers int) {
		// Guards against a request that runs twice, and against one that ran and is reported as not run.
		s := fakebackend.Script{Status: status}
		result, contacted := send(s, s, unlimitedSlack)
		Expect(result.Outcome).To(Equal(want))
		Expect(contacted).To(Equal(servers))
	},
	Entry("that runs", backend.StatusOK, model.OutcomeComplete, 1),
	Entry("whose reply is lost", backend.StatusLost, model.OutcomeUnknown, 1),
	Entry("whose reply belongs to another request", backend.StatusMismatched, model.OutcomeUnknown, 1),
	Entry("that full servers refuse", backend.StatusShed, model.OutcomeNotRun, 2),
	Entry("whose servers' addresses now belong to other servers", backend.StatusReplaced, model.OutcomeNotRun, 2),
	Entry("whose servers cannot be reached", backend.StatusUnreachable, model.OutcomeNotRun, 2),
)

// Guards against retries beyond the budget of extra attempts.
var _ = It("a non-idempotent request is not sent again when the budget is spent", func() {
	shed := fakebackend.Script{Status: backend.StatusShed}
	result, contacted := send(shed, shed, 0)
	Expect(result).To(Equal(relay.Result{Outcome: model.OutcomeNotRun, Reason: relay.ReasonBudget}))
	Expect(contacted).To(Equal(1))
})

// Guards against a caller who waits beyond the deadline, and against the outcome not run for a request that a server received.
var _ = It("a non-idempotent request ends at its deadline with an unknown outcome", func() {
	begin := time.Now()
	result, contacted := send(slowServer, slowServer, unlimitedSlack)
	Expect(result.Outcome).To(Equal(model.OutcomeUnknown))
	Expect(contacted).To(Equal(1))
	Expect(time.Since(begin)).To(BeNumerically("~", requestTimeout, requestTimeout/2))
})

// statuses are the possible statuses of an attempt at a server, which are reached after maxDelay at the latest.
var statuses = []backend.Status{
	backend.StatusOK, backend.StatusLost, backend.StatusMismatched, backend.StatusShed, backend.StatusReplaced,
	backend.StatusUnreachable, backend.StatusFailed,
}

const maxDelay = 2 * requestTimeout

var _ = It("a non-idempotent request runs on at most one server, and on none if it is reported as not run", func() {
	// Guards against statuses and delays of two servers that make a request run twice, or run and be reported as not run.
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		servers := map[model.ServerName]fakebackend.Script{}
		for _, name := range []model.ServerName{"w-a", "w-b"} {
			servers[name] = fakebackend.Script{
				Status: rapid.SampledFrom(statuses).Draw(t, "status"),
				Delay:  time.Duration(rapid.IntRange(0, int(maxDelay/time.Millisecond)).Draw(t, "ms")) * time.Millisecond,
			}
		}
		slack := float64(rapid.IntRange(0, 2).Draw(t, "slack"))
		var result relay.Result
		var connector *fakebackend.Connector
		suite.InBubble(func() { result, connector = sendTo(servers, slack) })
		ran := 0
		for name, script := range servers {
			// A server that has not answered by the deadline may have run what it got.
			if n := connector.Queries(name); n > 0 && (!script.Status.ProvablyNotRun() || script.Delay >= requestTimeout) {
				ran += n
			}
		}
		if ran > 1 || (result.Outcome == model.OutcomeNotRun && ran > 0) {
			t.Fatalf("%d servers may have run a request whose outcome is %v", ran, result.Outcome)
		}
	})
})

var slowServer = fakebackend.Script{Delay: time.Minute}
