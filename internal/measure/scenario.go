package measure

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// OfferedLoad is the offered load of each rank, as a fraction of capacity.
type OfferedLoad [model.RankCount]float64

// steadyLoad is 60% of capacity.
var steadyLoad = evenLoad(0.6)

// serverLossLoad is for faults that remove a server from a shard. A shard of two servers is then left with half of its
// capacity, so no policy could answer all queries completely at 60% of capacity. 40% loads the remaining server to 80%.
var serverLossLoad = evenLoad(0.4)

func evenLoad(total float64) OfferedLoad {
	var load OfferedLoad
	for r := range load {
		load[r] = total / model.RankCount
	}
	return load
}

// floodFactor is the load of a rank that floods the daemons, as a multiple of capacity.
const floodFactor = 3

func floodLoad(rank model.Rank) OfferedLoad {
	load := steadyLoad
	load[rank] = floodFactor
	return load
}

// warmUpLoad returns the load without a flood: each rank at no more than its steady load.
func warmUpLoad(load OfferedLoad) OfferedLoad {
	for r := range load {
		load[r] = min(load[r], steadyLoad[r])
	}
	return load
}

// TimedFault is a fault with the time of its injection, counted from the start of the measured time.
type TimedFault struct {
	At    time.Duration
	Fault cluster.Fault
}

// Scenario is an offered load with the faults injected meanwhile.
type Scenario struct {
	Name   string
	Load   OfferedLoad
	Faults []TimedFault
	// MinDuration is the shortest measured time that includes the faults from beginning to end.
	MinDuration time.Duration
	// LoadBalancer puts a load balancer in front of the daemons that sends requests to ready daemons only.
	LoadBalancer bool
	Bounds       []Bound
}

const (
	faultAt           = time.Second
	rolloutDuration   = 10 * time.Second
	partitionDuration = 10 * time.Second
	recoveryDuration  = 7 * time.Second
	// replacementDuration is an upper bound of the time to replace one daemon: the drain grace period of 3 s, the stop and the start.
	replacementDuration = 4 * time.Second
	// replacements equals the default number of daemons.
	replacements     = 8
	manyReplacements = 25
	editRounds       = 200
	editDuration     = 30 * time.Second
	// claimPauseDuration is longer than the window within which the holder of a claim may send its request.
	claimPauseDuration = 4 * time.Second
	outageDuration     = 60 * time.Second
)

// steadyName is the scenario that the bounds of others compare with.
const steadyName = "steady"

// twoAtOnce stands for two scenarios at once, chosen by the seed.
const twoAtOnce = "two-at-once"

// scenarios returns the scenarios in the order in which "all" runs them. The steady one comes first.
func scenarios() []Scenario {
	return []Scenario{
		{Name: steadyName, Load: steadyLoad, Bounds: steadyBounds()},
		{
			Name: "straggler", Load: serverLossLoad, Bounds: stragglerBounds(),
			Faults: []TimedFault{{Fault: cluster.Straggler{OneIn: 20, Factor: 10}}},
		},
		{Name: "flood-low", Load: floodLoad(model.RankDeferred), Bounds: floodLowBounds()},
		{Name: "flood-urgent", Load: floodLoad(model.RankUrgent), Bounds: floodUrgentBounds()},
		{
			Name: "version-roll", Load: steadyLoad, Bounds: versionRolloutBounds(), MinDuration: rolloutDuration,
			Faults: []TimedFault{{Fault: cluster.VersionRollout{Duration: rolloutDuration}}},
		},
		{
			Name: "replica-loss", Load: serverLossLoad, Bounds: replicaLossBounds(),
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ReplicaLoss{Fraction: 0.1}}},
		},
		{
			Name: "zone-cut", Load: serverLossLoad, Bounds: zonePartitionBounds(), MinDuration: faultAt + partitionDuration + recoveryDuration,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ZonePartition{Zone: 0, Duration: partitionDuration}}},
		},
		{
			Name: "false-health", Load: steadyLoad, Bounds: falseHealthBounds(),
			Faults: []TimedFault{{Fault: cluster.FalseReports{}}},
		},
		{
			Name: "cold-start", Load: steadyLoad, Bounds: coldStartBounds(),
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ColdJoin{
				Fraction: 0.25, Cold: cluster.ColdStart{Duration: 3 * time.Second, Factor: 5},
			}}},
		},
		{
			Name: "repartition", Load: steadyLoad,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Repartition{Retention: 3 * time.Second}}},
		},
		{
			Name: "leaving-servers", Load: serverLossLoad, MinDuration: faultAt + recoveryDuration,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.LeavingServers{Fraction: 0.1}}},
		},
		{
			Name: "store-outage", Load: steadyLoad, MinDuration: faultAt + recoveryDuration,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Sequence{
				cluster.StoreFaults{Faults: platformserver.Faults{LostReplies: 0.3}, Duration: 2 * time.Second},
				cluster.StoreFaults{Faults: platformserver.Faults{Down: true}, Duration: 3 * time.Second},
			}}},
		},
		{
			Name: "rolling-restart", Load: steadyLoad, MinDuration: replacements * replacementDuration, LoadBalancer: true,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RollingRestart{Count: replacements}}},
		},
	}
}

// longScenarios returns the scenarios that "all" and two-at-once exclude because they take long.
func longScenarios() []Scenario {
	return []Scenario{
		{
			Name: "rolling-replacements", Load: steadyLoad, MinDuration: manyReplacements * replacementDuration, LoadBalancer: true,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RollingRestart{Count: manyReplacements}}},
		},
		{
			Name: "store-down-restart", Load: steadyLoad, MinDuration: outageDuration + recoveryDuration, LoadBalancer: true,
			Faults: []TimedFault{
				{Fault: cluster.Sequence{
					cluster.ConfigChanges{Count: 1},
					cluster.StoreFaults{Faults: platformserver.Faults{Down: true}, Duration: outageDuration},
				}},
				{At: 2 * faultAt, Fault: cluster.RollingRestart{Count: replacements}},
			},
		},
		{
			Name: "racing-editors", Load: steadyLoad, MinDuration: editDuration,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RacingEditors{Rounds: editRounds}}},
		},
		{
			// Claim holders in a partitioned zone receive the store's reply after their window has passed. If callers ask for
			// a deadline of 5 s, the reply still arrives before the deadline.
			Name: "paused-holder", Load: serverLossLoad, MinDuration: 6*claimPauseDuration + recoveryDuration,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Sequence{
				cluster.ZonePartition{Zone: 0, Duration: claimPauseDuration}, cluster.PlatformPartition{Zone: 1, Duration: claimPauseDuration},
				cluster.ZonePartition{Zone: 2, Duration: claimPauseDuration}, cluster.PlatformPartition{Zone: 0, Duration: claimPauseDuration},
				cluster.ZonePartition{Zone: 1, Duration: claimPauseDuration}, cluster.PlatformPartition{Zone: 2, Duration: claimPauseDuration},
			}}},
		},
	}
}

// propagationScenarios returns the scenarios that measure how fast configuration changes come into force.
func propagationScenarios() []Scenario {
	const slowStore, slowDuration = time.Second, 30 * time.Second
	return []Scenario{
		{
			Name: "config-spread", Load: steadyLoad, Bounds: propagationBounds(), MinDuration: recoveryDuration,
			Faults: []TimedFault{{Fault: cluster.ConfigChanges{Count: 10, Pause: 200 * time.Millisecond}}},
		},
		{
			Name: "config-spread-slow-store", Load: serverLossLoad, Bounds: propagationLimitBounds(), MinDuration: slowDuration,
			Faults: []TimedFault{
				{Fault: cluster.StoreFaults{Faults: platformserver.Faults{Delay: slowStore}, Duration: slowDuration}},
				{At: faultAt, Fault: cluster.ConfigChanges{Count: 2}},
			},
		},
		{
			Name: "config-spread-platform-cut", Load: steadyLoad, Bounds: propagationLimitBounds(), MinDuration: partitionDuration,
			Faults: []TimedFault{
				{Fault: cluster.PlatformPartition{Zone: 1, Duration: partitionDuration}},
				{At: faultAt, Fault: cluster.ConfigChanges{Count: 5, Pause: 200 * time.Millisecond}},
			},
		},
	}
}

// FindScenario returns the named scenario. NAME+NAME combines two scenarios, and two-at-once combines two that the seed
// chooses.
func FindScenario(name string, seed uint64) (Scenario, error) {
	if name == twoAtOnce {
		name = pickTwo(seed)
	}
	parts := strings.Split(name, "+")
	out := Scenario{Name: name}
	for _, part := range parts {
		all := slices.Concat(scenarios(), propagationScenarios(), longScenarios())
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == part })
		if i < 0 {
			return out, errors.Wrapf(ErrUsage, "unknown scenario %q", part)
		}
		if len(parts) == 1 {
			return all[i], nil
		}
		out.combine(all[i])
	}
	return out, nil
}

func (s *Scenario) combine(other Scenario) {
	for r := range s.Load {
		s.Load[r] = combineLoads(s.Load[r], other.Load[r])
	}
	s.Faults = append(s.Faults, other.Faults...)
	s.MinDuration = max(s.MinDuration, other.MinDuration)
	s.LoadBalancer = s.LoadBalancer || other.LoadBalancer
}

// pickTwo returns NAME+NAME for two scenarios other than the steady one, chosen by the seed.
func pickTwo(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // the choice of faults need not be unpredictable
	table := scenarios()
	order := rnd.Perm(len(table) - 1)
	return table[1+order[0]].Name + "+" + table[1+order[1]].Name
}

// combineLoads returns the higher of two loads if it is a flood or one of them is 0, and the lower one otherwise.
func combineLoads(a, b float64) float64 {
	switch {
	case a == 0 || b == 0 || max(a, b) >= floodFactor:
		return max(a, b)
	}
	return min(a, b)
}

// expand returns the named scenarios. "all" stands for all but the long ones, followed by two-at-once.
func expand(names []string, seed uint64) ([]Scenario, error) {
	var out []Scenario
	if slices.Contains(names, "all") {
		out, names = append(scenarios(), propagationScenarios()...), []string{twoAtOnce}
	}
	for _, name := range names {
		s, err := FindScenario(name, seed)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
