package report_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/decision/admission"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

type idleConnector struct{}

type idleServer struct{ backend.Server }

func (idleServer) Close() {}

func (idleConnector) Connect(*model.Server, int) backend.Server { return idleServer{} }

// benchTopology has services of 92 shards with two servers each.
func benchTopology(rev model.Revision, servers int) *model.Topology {
	inv := model.Inventory{MaxInstances: 6000, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}}}
	for n := 0; n < servers; {
		svc := model.ServiceSpec{Name: model.ServiceName(fmt.Sprintf("service-%d", n)), ShardMapEpoch: 1}
		for i := 0; i < 92 && n < servers; i++ {
			sh := model.ShardSpec{Name: model.ShardName(fmt.Sprintf("shard-%d", i))}
			for range 2 {
				sh.Servers = append(sh.Servers, model.ServerSpec{
					Name: model.ServerName(fmt.Sprintf("server-%06d", n)), Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250),
					Zone: "z", Slots: 2, Connections: 25,
				})
				n++
			}
			svc.Shards = append(svc.Shards, sh)
		}
		inv.Services = append(inv.Services, svc)
	}
	return model.NewTopology(rev, inv, model.Rules{})
}

// BenchmarkAdopt measures applying a Topology in which one service has a new epoch and the same servers, and the memory per
// server record.
func BenchmarkAdopt(b *testing.B) {
	for _, servers := range []int{100, 7_300, 73_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			t := benchTopology(1, servers)
			r := &report.Recorder{
				Config: tables.NewConfig(), Servers: tables.NewServers(), Connector: idleConnector{},
				Admissions: tables.NewAdmissions(), Budgets: tables.NewBudgets(model.Rules{}, time.Now()),
			}
			before := heap()
			r.ApplyTopology(t, time.Now())
			perServer := float64(heap()-before) / float64(servers)
			for b.Loop() {
				b.StopTimer()
				inv := t.Inventory
				inv.Services = slices.Clone(inv.Services)
				inv.Services[0].ShardMapEpoch++
				t = model.NewTopologyWithBase(t, t.Revision+1, inv, model.Rules{})
				b.StartTimer()
				r.ApplyTopology(t, time.Now())
			}
			b.ReportMetric(perServer, "B/server")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkAdmission measures one request through an admission queue that is not full.
func BenchmarkAdmission(b *testing.B) {
	a := tables.NewAdmissions()
	a.Configure("s", admission.Config{Limit: 64})
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		ticket := a.Submit("s", admission.Waiter{Deadline: now.Add(time.Second)}, now)
		<-ticket.Decision()
		a.Finish(ticket, 1, now)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
