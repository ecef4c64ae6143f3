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

const patience = 300 * time.Millisecond

// run sends one request to the service w with the servers w-a and w-b, and returns the answer and how many servers got it.
func run(a, b fakebackend.Script, slack float64) (relay.Result, int) {
	answer, connector := runAt(map[model.ServerName]fakebackend.Script{"w-a": a, "w-b": b}, slack)
	return answer, connector.Total()
}

// runAt is run with the servers by name, and returns what they saw.
func runAt(servers map[model.ServerName]fakebackend.Script, slack float64) (relay.Result, *fakebackend.Connector) {
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
	answer := (&relay.Relay{Dispatcher: d}).Run(context.Background(), relay.Request{
		Route: &model.Route{Name: "r", MaxAttempts: 2}, Topology: t, Shard: t.Service("w").Shards[0],
		Message: &backend.Message{ID: "id"}, Arrived: time.Now(), Deadline: time.Now().Add(patience),
	})
	return answer, connector
}

// plenty is a slack that allows any retry.
const plenty = 1000

var _ = DescribeTable("a non-idempotent request",
	func(status backend.Status, want model.Outcome, servers int) {
		// Guards against a request that runs twice, and against a refusal that is not true.
		s := fakebackend.Script{Status: status}
		answer, asked := run(s, s, plenty)
		Expect(answer.Outcome).To(Equal(want))
		Expect(asked).To(Equal(servers))
	},
	Entry("that runs", backend.StatusOK, model.OutcomeComplete, 1),
	Entry("whose reply is lost", backend.StatusLost, model.OutcomeUnknown, 1),
	Entry("whose reply is another's", backend.StatusMismatched, model.OutcomeUnknown, 1),
	Entry("that full servers refuse", backend.StatusShed, model.OutcomeNotRun, 2),
	Entry("whose servers have another one's address", backend.StatusReplaced, model.OutcomeNotRun, 2),
	Entry("whose servers cannot be reached", backend.StatusUnreachable, model.OutcomeNotRun, 2),
)

var _ = It("a non-idempotent request is not sent again when the budget is spent", func() {
	shed := fakebackend.Script{Status: backend.StatusShed}
	answer, asked := run(shed, shed, 0)
	Expect(answer).To(Equal(relay.Result{Outcome: model.OutcomeNotRun, Reason: relay.ReasonBudget}))
	Expect(asked).To(Equal(1))
})

var _ = It("a non-idempotent request ends at its deadline, as one that may have run", func() {
	begin := time.Now()
	answer, asked := run(slowServer, slowServer, plenty)
	Expect(answer.Outcome).To(Equal(model.OutcomeUnknown))
	Expect(asked).To(Equal(1))
	Expect(time.Since(begin)).To(BeNumerically("~", patience, patience/2))
})

// outcomes are what may become of a request at a server, and maxDelay is the longest time until then.
var outcomes = []backend.Status{
	backend.StatusOK, backend.StatusLost, backend.StatusMismatched, backend.StatusShed, backend.StatusReplaced,
	backend.StatusUnreachable, backend.StatusFailed,
}

const maxDelay = 2 * patience

var _ = It("a non-idempotent request runs at one server at most, and not at all if it is said not to have run", func() {
	// Guards against any mix of outcomes and delays of two servers under which a request runs twice or a refusal is untrue.
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		servers := map[model.ServerName]fakebackend.Script{}
		for _, name := range []model.ServerName{"w-a", "w-b"} {
			servers[name] = fakebackend.Script{
				Status: rapid.SampledFrom(outcomes).Draw(t, "status"),
				Delay:  time.Duration(rapid.IntRange(0, int(maxDelay/time.Millisecond)).Draw(t, "ms")) * time.Millisecond,
			}
		}
		slack := float64(rapid.IntRange(0, 2).Draw(t, "slack"))
		var answer relay.Result
		var connector *fakebackend.Connector
		suite.InBubble(func() { answer, connector = runAt(servers, slack) })
		ran := 0
		for name, script := range servers {
			// A server that has not answered by the deadline may have run what it got.
			if n := connector.Queries(name); n > 0 && (!script.Status.ProvablyNotRun() || script.Delay >= patience) {
				ran += n
			}
		}
		if ran > 1 || (answer.Outcome == model.OutcomeNotRun && ran > 0) {
			t.Fatalf("%d servers may have run a request that ended as %v", ran, answer.Outcome)
		}
	})
})

var slowServer = fakebackend.Script{Delay: time.Minute}
