package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/follow"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

// earlierSource is a daemon that has not heard of the store's restore. It counts the calls of daemons that follow it, and those of daemons
// that ask it once.
type earlierSource struct{ followed, asked atomic.Int64 }

func (s *earlierSource) Registry(
	_ context.Context, _ string, _ gossip.Position, _ []model.LeavingServer, wait time.Duration,
) (registry.PeerUpdate, error) {
	if wait > 0 {
		s.followed.Add(1)
	} else {
		s.asked.Add(1)
	}
	time.Sleep(10 * time.Millisecond)
	late := registry.Update{Revision: 99, Complete: true, Routing: model.NewRouting(99, nil, nil, model.CallerLimits{})}
	return registry.PeerUpdate{Update: late, ConfirmedAt: time.Now()}, nil
}

// TestSourceOfEarlierEra guards against a daemon that applies the data of a source which has not heard of the restore, or that calls it
// without a pause, since such a source replies at once.
func TestSourceOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &earlierSource{}
		store := newMemoryStore()
		store.era = 1
		store.configure(model.NewRouting(2, nil, nil, model.CallerLimits{}))
		var followers []*follow.Follower
		var registries []*tables.Registry
		for _, index := range []int{0, 2} {
			client, table := newStoreClient(store), tables.NewRegistry(3*time.Second)
			registries = append(registries, table)
			followers = append(followers, follow.New(follow.Deps{
				Reader: client, Announcer: client, Peers: source, Self: member(index), Registry: table, Config: tables.NewConfig(),
				Servers: tables.NewServers(), Freshness: gossip.NewFreshness(3 * time.Second), Log: zerolog.Nop(),
				ApplyTopology: func(*model.Topology, time.Time) {}, DaemonsChanged: func([]model.Member, bool) {},
			}))
			followers[len(followers)-1].Start()
		}
		time.Sleep(12 * time.Second)
		for i, f := range followers {
			f.Close()
			if v := registries[i].View().Routing.Version; v != 2 {
				t.Errorf("version %d was applied", v)
			}
		}
		// Only one of the two daemons follows the other, and a stale source is called again after 5 s.
		if n := source.followed.Load(); n < 2 || n > 4 {
			t.Errorf("%d calls to the source in 12 s", n)
		}
		// Each daemon asks another one at most once before it puts its first configuration in force.
		if n := source.asked.Load(); n > 2 {
			t.Errorf("%d calls to the source that do not follow it", n)
		}
	})
}
