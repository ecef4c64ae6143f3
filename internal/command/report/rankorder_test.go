package report_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

const (
	fanOut        = 10
	serviceTime   = 10 * time.Millisecond
	deferredShare = 0.05
	// admittedShare is a share of the deferred rank that admission allows: it targets 1.4 times the minimum share.
	admittedShare  = 1.2 * deferredShare
	simulatedTime  = time.Minute
	simulationSeed = 1
)

// newFanOutServers returns the records of servers of which each runs one attempt at a time.
func newFanOutServers(now time.Time) []*tables.Server {
	var shards []model.ShardSpec
	for i := range fanOut {
		name := fmt.Sprintf("s%d", i)
		shards = append(shards, model.ShardSpec{Name: model.ShardName(name), KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: model.ServerName(name), Zone: "z", Slots: 1, Connections: 1, Address: "-"},
		}})
	}
	t := model.NewTopology(1, model.Inventory{
		MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
		Services: []model.ServiceSpec{{Name: "search", ShardMapEpoch: 1, Shards: shards}},
	}, model.Rules{Ranks: []model.RankRule{{Rank: "urgent", MinShare: 0.6}, {Rank: "deferred", MinShare: deferredShare}}})
	config := tables.NewConfig()
	r := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: fakebackend.New(nil)}
	d := dispatch.New(dispatch.Config{Zone: "z", Workers: 1}, config, r.Servers, r)
	DeferCleanup(d.Close)
	r.Admissions, r.Budgets = d.Admissions, d.Budgets
	r.ApplyTopology(t, now)
	return r.Servers.All()
}

// simulateServer serves urgent attempts, of which some always wait, and a deferred one for each of the arrivals. It raises the
// elements of longest to how long the deferred ones waited.
func simulateServer(s *tables.Server, rnd *rand.Rand, begin time.Time, arrivals []time.Time, longest []time.Duration) {
	const urgentWaiting = 3
	for range urgentWaiting {
		s.Acquire(&tables.Attempt{Rank: model.RankUrgent})
	}
	indices := map[*tables.Attempt]int{}
	next := 0
	for now := begin; now.Sub(begin) < simulatedTime; now = now.Add(time.Duration(rnd.ExpFloat64() * float64(serviceTime))) {
		for ; next < len(arrivals) && !arrivals[next].After(now); next++ {
			a := &tables.Attempt{Rank: model.RankDeferred}
			indices[a] = next
			s.Acquire(a)
		}
		for _, a := range s.Release(now) {
			i, deferred := indices[a]
			if !deferred {
				s.Acquire(&tables.Attempt{Rank: model.RankUrgent})
				continue
			}
			longest[i] = max(longest[i], now.Sub(arrivals[i]))
		}
	}
}

var _ = It("a request of a rank that was admitted by its minimum share waits at none of its servers for long", func() {
	// Guards against requests to many servers that miss their deadline, since one of the servers keeps an admitted rank's queue
	// near saturation behind urgent work.
	rnd := rand.New(rand.NewPCG(simulationSeed, 0))
	begin := time.Now()
	interval := float64(serviceTime) / admittedShare
	var arrivals []time.Time
	for at := begin; at.Sub(begin) < simulatedTime; {
		at = at.Add(time.Duration(rnd.ExpFloat64() * interval))
		arrivals = append(arrivals, at)
	}
	longest := make([]time.Duration, len(arrivals))
	for _, s := range newFanOutServers(begin) {
		simulateServer(s, rnd, begin, arrivals, longest)
	}
	slices.Sort(longest)
	Expect(longest[len(longest)*9/10]).To(BeNumerically("<", 15*serviceTime))
})
