package report_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

var _ = Describe("failing servers of a shard", func() {
	It("are ejected, except for the last one that is in use", func() {
		// Guards against a shard that fails requests without an attempt, and against servers that fail on and on and stay in use.
		const replicas = 5
		inv := model.Inventory{
			MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
			Services: []model.ServiceSpec{{Name: "s", ShardMapEpoch: 1, Shards: []model.ShardSpec{{Name: "s0"}}}},
		}
		shard := &inv.Services[0].Shards[0]
		for n := range replicas {
			shard.Servers = append(shard.Servers, model.ServerSpec{
				Name: model.ServerName(fmt.Sprintf("server-%d", n)), Address: "10.0.0.1:80", Zone: "z", Slots: 2, Connections: 25,
			})
		}
		topology := model.NewTopology(1, inv, model.Rules{})
		r := &report.Recorder{
			Config: tables.NewConfig(), Servers: tables.NewServers(), Connector: idleConnector{},
			Admissions: tables.NewAdmissions(), Budgets: tables.NewBudgets(model.Rules{}, time.Now()),
		}
		r.ApplyTopology(topology, time.Now())
		r.Config.Install(topology)
		record := func(n int) *tables.Server { return r.Servers.Get(model.ServerName(fmt.Sprintf("server-%d", n))) }
		for n := range replicas {
			// A server that has replied lately is not unresponsive.
			r.ObserveAttempt(record(n), dispatch.AttemptResult{Status: backend.StatusOK})
		}
		for n := range replicas {
			for range 10 {
				r.ObserveAttempt(record(n), dispatch.AttemptResult{Status: backend.StatusLost})
			}
			Expect(record(n).AcceptsWork()).To(Equal(n == replicas-1))
		}
	})
})
