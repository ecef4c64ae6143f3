package quota_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/quota"
	decision "oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
	"oleandersill.example/oleandersill/internal/tables"
)

// BenchmarkTake measures a request at the daemon that is the owner of its workspace.
func BenchmarkTake(b *testing.B) {
	timer := pool.NewTimer(tables.OrderTimer)
	defer timer.Stop()
	limit := model.Quota{Rate: 1e9, Burst: 1e9}
	routing := routingWith(limit)
	self := model.Member{Instance: "d", Zone: "z0", Protocol: model.ProtocolWorkspaces}
	keeper := quota.New(quota.Config{
		Self: self, Region: "r0", Zones: zones, Allowance: allowance, Routing: func() *model.Routing { return routing },
		Unreachable: func(model.AvailabilityZone) bool { return false },
		After:       func(d time.Duration, f func()) { timer.Schedule(time.Now().Add(d), f) },
		Now:         quota.BootClock, Log: zerolog.Nop(),
	})
	defer keeper.Close()
	time.Sleep(2 * time.Second)
	w := routing.Workspace("w")
	b.ReportAllocs()
	for b.Loop() {
		if d := keeper.Take(context.Background(), w); d.Outcome != decision.Granted {
			b.Fatal(d)
		}
	}
}
