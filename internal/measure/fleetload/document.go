package fleetload

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/model"
)

// ErrNotPublished means that a configuration change was not accepted.
var ErrNotPublished = errors.New("fleetload: change not accepted")

// Size of the inventory: that of one customer, as the design page states it.
const (
	services         = 4
	shardsPerService = 20
	serversPerShard  = 2
	firstPort        = 10_000
)

// inventory returns an inventory for the daemons. Each edit differs from the one before it in one service.
func inventory(daemons, zones int, edit model.Revision) model.Inventory {
	inv := model.Inventory{MaxInstances: daemons, SurgeInstances: daemons}
	for z := range zones {
		inv.Zones = append(inv.Zones, model.ZoneSpec{Name: zoneName(z), Region: model.Region(zoneName(z))})
	}
	port := firstPort
	for s := range services {
		svc := model.ServiceSpec{Name: model.ServiceName(fmt.Sprintf("service-%d", s)), ShardMapEpoch: 1}
		for i := range shardsPerService {
			sh := model.ShardSpec{
				Name:    model.ShardName(fmt.Sprintf("shard-%d", i)),
				KeyFrom: i * model.KeySpace / shardsPerService,
				KeyTo:   (i + 1) * model.KeySpace / shardsPerService,
			}
			for r := range serversPerShard {
				sh.Servers = append(sh.Servers, model.ServerSpec{
					Name:    model.ServerName(fmt.Sprintf("server-%d-%d-%d", s, i, r)),
					Address: fmt.Sprintf("10.0.0.1:%d", port),
					Zone:    zoneName((i + r) % zones), Slots: 2, Connections: 25, ConnectionCostMs: 5,
				})
				port++
			}
			svc.Shards = append(svc.Shards, sh)
		}
		inv.Services = append(inv.Services, svc)
	}
	// An edit changes the part of one service, as most changes by operators do.
	inv.Services[edit%services].ShardMapEpoch = model.ShardMapEpoch(edit) + 1
	return inv
}

func zoneName(i int) model.AvailabilityZone { return model.AvailabilityZone(fmt.Sprintf("zone-%d", i)) }

func rules() model.Rules {
	return model.Rules{
		Ranks: []model.RankRule{
			{Rank: "urgent", MinShare: 0.6, TargetMs: 150, MaxQueueMs: 50},
			{Rank: "standard", MinShare: 0.3, TargetMs: 300, MaxQueueMs: 100},
			{Rank: "deferred", MinShare: 0.1, TargetMs: 1000, MaxQueueMs: 200},
		},
		Callers:   []model.CallerRule{{Caller: model.AnyCaller, Rank: "standard"}},
		Hedge:     model.HedgeRule{MaxRatio: 0.05, WindowMs: 10_000, Quantile: 0.95, MinDelayMs: 5},
		Retry:     model.RetryRule{MaxRatio: 0.1, WindowMs: 10_000, MaxAttempts: 3},
		Deadlines: model.DeadlineRule{DefaultMs: 1000, MaxMs: 10_000},
	}
}

// publish writes the next revision to the store in the same way as a change by an operator.
func (f *fleet) publish(ctx context.Context) error {
	c := configure.Configurer{Store: f.platform.Data(), Now: time.Now}
	result := c.Apply(ctx, configure.Change{
		Inventory: inventory(len(f.members), f.zones, f.revision),
		Rules:     rules(), Expect: f.revision, Editor: "fleetload", Reason: "measurement",
	})
	if result.Verdict != configure.Accepted {
		return errors.Wrapf(ErrNotPublished, "%s: %s", result.Verdict, result.Detail)
	}
	f.revision++
	return nil
}
