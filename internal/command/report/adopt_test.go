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

// adoptedServer is what a table says of a server.
type adoptedServer struct {
	service model.ServiceName
	address string
	region  model.Region
}

func serversOf(inv model.Inventory, servers *tables.Servers) map[model.ServerName]adoptedServer {
	out := map[model.ServerName]adoptedServer{}
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			for _, s := range sh.Servers {
				if rec := servers.Get(s.Name); rec != nil {
					spec := rec.Spec()
					out[s.Name] = adoptedServer{service: spec.Service, address: spec.Address, region: spec.Region}
				}
			}
		}
	}
	return out
}

var _ = Describe("adopting a Topology that shares services", func() {
	newRecorder := func() *report.Recorder {
		return &report.Recorder{
			Config: tables.NewConfig(), Servers: tables.NewServers(), Connector: idleConnector{},
			Admissions: tables.NewAdmissions(), Budgets: tables.NewBudgets(model.Rules{}, time.Now()),
		}
	}
	copied := func(svc model.ServiceSpec) model.ServiceSpec {
		svc.Shards = slices.Clone(svc.Shards)
		for i := range svc.Shards {
			svc.Shards[i].Servers = slices.Clone(svc.Shards[i].Servers)
		}
		return svc
	}

	// Guards against records that keep stale entries, stay after their server, or go with a server that only moved.
	DescribeTable("leaves the tables as adopting it alone does",
		func(edit func(*model.Inventory)) {
			first := benchTopology(1, 400)
			inv := first.Inventory
			inv.Services = slices.Clone(inv.Services)
			edit(&inv)
			second := model.NewTopologyOn(first, 2, inv, model.Rules{})
			r := newRecorder()
			r.ApplyTopology(first, time.Now())
			kept := r.Servers.Get("server-000399")
			r.ApplyTopology(second, time.Now())
			alone := newRecorder()
			alone.ApplyTopology(model.NewTopology(2, inv, model.Rules{}), time.Now())
			Expect(r.Servers.Len()).To(Equal(alone.Servers.Len()))
			Expect(r.Servers.Len()).To(Equal(second.ServerCount()))
			Expect(serversOf(inv, r.Servers)).To(Equal(serversOf(inv, alone.Servers)))
			Expect(r.Servers.Get("server-000399")).To(BeIdenticalTo(kept))
		},
		Entry("no edit", func(*model.Inventory) {}),
		Entry("a server gets another address", func(inv *model.Inventory) {
			inv.Services[0] = copied(inv.Services[0])
			inv.Services[0].Shards[0].Servers[0].Address = "10.9.9.9:80"
		}),
		Entry("a server goes", func(inv *model.Inventory) {
			inv.Services[0] = copied(inv.Services[0])
			inv.Services[0].Shards[0].Servers = inv.Services[0].Shards[0].Servers[1:]
		}),
		Entry("a server moves to another service", func(inv *model.Inventory) {
			inv.Services[0], inv.Services[1] = copied(inv.Services[0]), copied(inv.Services[1])
			from, to := &inv.Services[0].Shards[0], &inv.Services[1].Shards[0]
			to.Servers = append(to.Servers, from.Servers[0])
			from.Servers = from.Servers[1:]
		}),
		Entry("a service goes", func(inv *model.Inventory) { inv.Services = inv.Services[1:] }),
		Entry("a zone gets another region", func(inv *model.Inventory) {
			inv.Zones = []model.ZoneSpec{{Name: "z", Region: "elsewhere"}}
		}),
		Entry("the number of daemons changes", func(inv *model.Inventory) { inv.MaxInstances = 7000 }),
	)

	// Guards against a fleet that grows and keeps the connection budgets of the smaller one, which together exceed what
	// servers accept.
	It("changes the connection budgets of servers that stay with the number of daemons", func() {
		first := benchTopology(1, 2)
		inv := first.Inventory
		r := newRecorder()
		for _, c := range []struct{ instances, budget, limit int }{{5, 5, 5}, {25, 1, 1}, {5, 5, 1}} {
			inv.MaxInstances = c.instances
			r.ApplyTopology(model.NewTopologyOn(first, 1, inv, model.Rules{}), time.Now())
			rec := r.Servers.Get("server-000000")
			Expect([]int{rec.Budget(), rec.Limit(), rec.AcquireAllSpare()}).To(Equal([]int{c.budget, c.limit, c.budget}))
			for range c.budget {
				rec.Release(time.Now())
			}
		}
	})
})
