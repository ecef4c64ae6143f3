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

// OfferedLoad gives the offered load of each rank as a fraction of capacity.
type OfferedLoad [model.RankCount]float64

// steadyShape offers 60% of capacity.
var steadyShape = evenShape(0.6)

// lossShape is for faults that take a server from a shard. A shard of two servers keeps half of its capacity then, so 60%
// of capacity could not be served whole by any policy; 40% loads the server that is left to 80%.
var lossShape = evenShape(0.4)

func evenShape(total float64) OfferedLoad {
	var s OfferedLoad
	for r := range s {
		s[r] = total / model.RankCount
	}
	return s
}

// floodFactor is the load of a flooding rank, as a multiple of capacity.
const floodFactor = 3

func flood(rank model.Rank) OfferedLoad {
	s := steadyShape
	s[rank] = floodFactor
	return s
}

// warmShape is the shape without a flood.
func warmShape(s OfferedLoad) OfferedLoad {
	for r := range s {
		s[r] = min(s[r], steadyShape[r])
	}
	return s
}

// TimedFault is a fault with its time, from the start of the measured time.
type TimedFault struct {
	At    time.Duration
	Fault cluster.Fault
}

// Scenario is one load shape with its faults.
type Scenario struct {
	Name   string
	Load   OfferedLoad
	Faults []TimedFault
	// MinDuration is the shortest measured time that holds the whole course of the faults.
	MinDuration time.Duration
	// LoadBalancer puts a load balancer in front of the daemons that follows their readiness.
	LoadBalancer bool
	Bounds       []Bound
}

const (
	faultAt      = time.Second
	rollTime     = 10 * time.Second
	cutTime      = 10 * time.Second
	recoveryTime = 7 * time.Second
	// replaceTime bounds the replacement of one daemon: the grace time of 3 s, the end and the start.
	replaceTime = 4 * time.Second
	// replacements are all daemons of the default number of daemons.
	replacements     = 8
	manyReplacements = 25
	editRounds       = 200
	editTime         = 30 * time.Second
	// holdTime is longer than the window in which the holder of a claim may send its request.
	holdTime   = 4 * time.Second
	outageTime = 60 * time.Second
)

// steadyName is the scenario that others are compared with.
const steadyName = "steady"

// twoAtOnce stands for two scenarios at once that the seed picks.
const twoAtOnce = "two-at-once"

// scenarios is the table of scenarios, in the order in which "all" runs them. Steady is the first.
func scenarios() []Scenario {
	return []Scenario{
		{Name: steadyName, Load: steadyShape, Bounds: steadyBounds()},
		{
			Name: "straggler", Load: lossShape, Bounds: stragglerBounds(),
			Faults: []TimedFault{{Fault: cluster.Straggler{OneIn: 20, Factor: 10}}},
		},
		{Name: "flood-low", Load: flood(model.RankDeferred), Bounds: floodLowBounds()},
		{Name: "flood-urgent", Load: flood(model.RankUrgent), Bounds: floodUrgentBounds()},
		{
			Name: "version-roll", Load: steadyShape, Bounds: versionRollBounds(), MinDuration: rollTime,
			Faults: []TimedFault{{Fault: cluster.VersionRollout{Duration: rollTime}}},
		},
		{
			Name: "replica-loss", Load: lossShape, Bounds: replicaLossBounds(),
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ReplicaLoss{Fraction: 0.1}}},
		},
		{
			Name: "zone-cut", Load: lossShape, Bounds: zoneCutBounds(), MinDuration: faultAt + cutTime + recoveryTime,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ZonePartition{Zone: 0, Duration: cutTime}}},
		},
		{
			Name: "false-health", Load: steadyShape, Bounds: falseHealthBounds(),
			Faults: []TimedFault{{Fault: cluster.FalseReports{}}},
		},
		{
			Name: "cold-start", Load: steadyShape, Bounds: coldStartBounds(),
			Faults: []TimedFault{{At: faultAt, Fault: cluster.ColdJoin{
				Fraction: 0.25, Cold: cluster.ColdStart{Duration: 3 * time.Second, Factor: 5},
			}}},
		},
		{
			Name: "repartition", Load: steadyShape,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Repartition{Retention: 3 * time.Second}}},
		},
		{
			Name: "leaving-servers", Load: lossShape, MinDuration: faultAt + recoveryTime,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.LeavingServers{Fraction: 0.1}}},
		},
		{
			Name: "store-outage", Load: steadyShape, MinDuration: faultAt + recoveryTime,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Sequence{
				cluster.StoreFaults{Faults: platformserver.Faults{LostReplies: 0.3}, Duration: 2 * time.Second},
				cluster.StoreFaults{Faults: platformserver.Faults{Down: true}, Duration: 3 * time.Second},
			}}},
		},
		{
			Name: "rolling-restart", Load: steadyShape, MinDuration: replacements * replaceTime, LoadBalancer: true,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RollingRestart{Count: replacements}}},
		},
	}
}

// longScenarios are left out of "all" and of two-at-once for their length.
func longScenarios() []Scenario {
	return []Scenario{
		{
			Name: "rolling-replacements", Load: steadyShape, MinDuration: manyReplacements * replaceTime, LoadBalancer: true,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RollingRestart{Count: manyReplacements}}},
		},
		{
			Name: "store-down-restart", Load: steadyShape, MinDuration: outageTime + recoveryTime, LoadBalancer: true,
			Faults: []TimedFault{
				{Fault: cluster.Sequence{
					cluster.ConfigChanges{Count: 1},
					cluster.StoreFaults{Faults: platformserver.Faults{Down: true}, Duration: outageTime},
				}},
				{At: 2 * faultAt, Fault: cluster.RollingRestart{Count: replacements}},
			},
		},
		{
			Name: "racing-editors", Load: steadyShape, MinDuration: editTime,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.RacingEditors{Rounds: editRounds}}},
		},
		{
			// The holders in a zone that is cut off get the store's reply once their window has passed, with the deadline
			// still ahead if callers ask for 5 s.
			Name: "paused-holder", Load: lossShape, MinDuration: 6*holdTime + recoveryTime,
			Faults: []TimedFault{{At: faultAt, Fault: cluster.Sequence{
				cluster.ZonePartition{Zone: 0, Duration: holdTime}, cluster.PlatformPartition{Zone: 1, Duration: holdTime},
				cluster.ZonePartition{Zone: 2, Duration: holdTime}, cluster.PlatformPartition{Zone: 0, Duration: holdTime},
				cluster.ZonePartition{Zone: 1, Duration: holdTime}, cluster.PlatformPartition{Zone: 2, Duration: holdTime},
			}}},
		},
	}
}

// spreadScenarios are the scenarios of configuration changes.
func spreadScenarios() []Scenario {
	const slowStore, slowTime = time.Second, 30 * time.Second
	return []Scenario{
		{
			Name: "config-spread", Load: steadyShape, Bounds: spreadBounds(), MinDuration: recoveryTime,
			Faults: []TimedFault{{Fault: cluster.ConfigChanges{Count: 10, Pause: 200 * time.Millisecond}}},
		},
		{
			Name: "config-spread-slow-store", Load: lossShape, Bounds: slowSpreadBounds(), MinDuration: slowTime,
			Faults: []TimedFault{
				{Fault: cluster.StoreFaults{Faults: platformserver.Faults{Delay: slowStore}, Duration: slowTime}},
				{At: faultAt, Fault: cluster.ConfigChanges{Count: 2}},
			},
		},
		{
			Name: "config-spread-platform-cut", Load: steadyShape, Bounds: slowSpreadBounds(), MinDuration: cutTime,
			Faults: []TimedFault{
				{Fault: cluster.PlatformPartition{Zone: 1, Duration: cutTime}},
				{At: faultAt, Fault: cluster.ConfigChanges{Count: 5, Pause: 200 * time.Millisecond}},
			},
		},
	}
}

// FindScenario returns the named scenario; NAME+NAME gives both at once, and two-at-once two that the seed picks.
func FindScenario(name string, seed uint64) (Scenario, error) {
	if name == twoAtOnce {
		name = pickTwo(seed)
	}
	parts := strings.Split(name, "+")
	out := Scenario{Name: name}
	for _, part := range parts {
		all := slices.Concat(scenarios(), spreadScenarios(), longScenarios())
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == part })
		if i < 0 {
			return out, errors.Wrapf(ErrUsage, "no scenario %q", part)
		}
		if len(parts) == 1 {
			return all[i], nil
		}
		out.join(all[i])
	}
	return out, nil
}

func (s *Scenario) join(other Scenario) {
	for r := range s.Load {
		s.Load[r] = joinLoad(s.Load[r], other.Load[r])
	}
	s.Faults = append(s.Faults, other.Faults...)
	s.MinDuration = max(s.MinDuration, other.MinDuration)
	s.LoadBalancer = s.LoadBalancer || other.LoadBalancer
}

// pickTwo returns the names of two scenarios with faults or floods, by the seed.
func pickTwo(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // a choice of faults needs no secrecy
	table := scenarios()
	order := rnd.Perm(len(table) - 1)
	return table[1+order[0]].Name + "+" + table[1+order[1]].Name
}

// joinLoad returns a flood if there is one, and the lower of two loads otherwise.
func joinLoad(a, b float64) float64 {
	switch {
	case a == 0 || b == 0 || max(a, b) >= floodFactor:
		return max(a, b)
	}
	return min(a, b)
}

// expand returns the scenarios to run; "all" stands for the whole table.
func expand(names []string, seed uint64) ([]Scenario, error) {
	var out []Scenario
	if slices.Contains(names, "all") {
		out, names = append(scenarios(), spreadScenarios()...), []string{twoAtOnce}
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
