package relay_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
func run(a, b fakebackend.Script, slack float64) (relay.Answer, int) {
	connector := fakebackend.New(map[model.ServerName]fakebackend.Script{"w-a": a, "w-b": b})
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
		Budgets: tables.NewServiceBudgets(rule, 1, time.Now().Add(-time.Hour)),
	}, config, recorder.Servers, recorder)
	defer d.Close()
	recorder.Admissions, recorder.Budgets = d.Admissions, d.Budgets
	recorder.Adopt(t, time.Now())
	config.Install(t)
	answer := (&relay.Relay{Dispatcher: d}).Run(context.Background(), relay.Request{
		Route: &model.Route{Name: "r", MaxAttempts: 2}, Topology: t, Shard: t.Service("w").Shards[0],
		Message: &backend.Message{ID: "id"}, Arrived: time.Now(), Deadline: time.Now().Add(patience),
	})
	return answer, connector.Total()
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
	Expect(answer).To(Equal(relay.Answer{Outcome: model.OutcomeNotRun, Reason: relay.ReasonBudget}))
	Expect(asked).To(Equal(1))
})

var _ = It("a non-idempotent request ends at its deadline, as one that may have run", func() {
	begin := time.Now()
	answer, asked := run(slowServer, slowServer, plenty)
	Expect(answer.Outcome).To(Equal(model.OutcomeUnknown))
	Expect(asked).To(Equal(1))
	Expect(time.Since(begin)).To(BeNumerically("~", patience, patience/2))
})

var slowServer = fakebackend.Script{Delay: time.Minute}
