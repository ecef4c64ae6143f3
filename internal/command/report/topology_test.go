package report_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// serverRecord is the part of a server's record that follows from its spec.
type serverRecord struct {
	service model.ServiceName
	address string
	region  model.Region
}

func serversOf(inv model.Inventory, servers *tables.Servers) map[model.ServerName]serverRecord {
	out := map[model.ServerName]serverRecord{}
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			for _, s := range sh.Servers {
				if rec := servers.Get(s.Name); rec != nil {
					spec := rec.Spec()
					out[s.Name] = serverRecord{service: spec.Service, address: spec.Address, region: spec.Region}
				}
			}
		}
	}
	return out
}

var _ = Describe("applying a Topology that shares services", func() {
	newRecorder := func() *report.Recorder {
		return &report.Recorder{
			Config: tables.NewConfig(), Servers: tables.NewServers(), Connector: idleConnector{},
			Admissions: tables.NewAdmissions(), Budgets: tables.NewBudgets(model.Rules{}, time.Now()),
		}
	}
	cloneService := func(svc model.ServiceSpec) model.ServiceSpec {
		svc.Shards = slices.Clone(svc.Shards)
		for i := range svc.Shards {
			svc.Shards[i].Servers = slices.Clone(svc.Shards[i].Servers)
		}
		return svc
	}

	// Guards against records that keep an outdated spec, remain after their server was removed, or are removed with a server
	// that only moved to another service.
	DescribeTable("leaves the tables as applying it to empty ones does",
		func(edit func(*model.Inventory)) {
			first := benchTopology(1, 400)
			inv := first.Inventory
			inv.Services = slices.Clone(inv.Services)
			edit(&inv)
			second := model.NewTopologyWithBase(first, 2, inv, model.Rules{})
			r := newRecorder()
			r.ApplyTopology(first, time.Now())
			kept := r.Servers.Get("server-000399")
			r.ApplyTopology(second, time.Now())
			fresh := newRecorder()
			fresh.ApplyTopology(model.NewTopology(2, inv, model.Rules{}), time.Now())
			Expect(r.Servers.Len()).To(Equal(fresh.Servers.Len()))
			Expect(r.Servers.Len()).To(Equal(second.ServerCount()))
			Expect(serversOf(inv, r.Servers)).To(Equal(serversOf(inv, fresh.Servers)))
			Expect(r.Servers.Get("server-000399")).To(BeIdenticalTo(kept))
		},
		Entry("no edit", func(*model.Inventory) {}),
		Entry("a server gets another address", func(inv *model.Inventory) {
			inv.Services[0] = cloneService(inv.Services[0])
			inv.Services[0].Shards[0].Servers[0].Address = "10.9.9.9:80"
		}),
		Entry("a server is removed", func(inv *model.Inventory) {
			inv.Services[0] = cloneService(inv.Services[0])
			inv.Services[0].Shards[0].Servers = inv.Services[0].Shards[0].Servers[1:]
		}),
		Entry("a server moves to another service", func(inv *model.Inventory) {
			inv.Services[0], inv.Services[1] = cloneService(inv.Services[0]), cloneService(inv.Services[1])
			from, to := &inv.Services[0].Shards[0], &inv.Services[1].Shards[0]
			to.Servers = append(to.Servers, from.Servers[0])
			from.Servers = from.Servers[1:]
		}),
		Entry("a service is removed", func(inv *model.Inventory) { inv.Services = inv.Services[1:] }),
		Entry("a zone gets another region", func(inv *model.Inventory) {
			inv.Zones = []model.ZoneSpec{{Name: "z", Region: "elsewhere"}}
		}),
		Entry("the number of daemons changes", func(inv *model.Inventory) { inv.MaxInstances = 7000 }),
	)

	// Guards against a fleet that grows and keeps the connection budgets of the smaller one, whose sum exceeds what servers
	// accept.
	It("updates the connection budgets of servers that remain when the number of daemons changes", func() {
		first := benchTopology(1, 2)
		inv := first.Inventory
		r := newRecorder()
		for _, c := range []struct{ instances, budget, limit int }{{5, 5, 5}, {25, 1, 1}, {5, 5, 1}} {
			inv.MaxInstances = c.instances
			r.ApplyTopology(model.NewTopologyWithBase(first, 1, inv, model.Rules{}), time.Now())
			rec := r.Servers.Get("server-000000")
			Expect([]int{rec.Budget(), rec.Limit(), rec.AcquireAllSpare()}).To(Equal([]int{c.budget, c.limit, c.budget}))
			for range c.budget {
				rec.Release(time.Now())
			}
		}
	})
})
