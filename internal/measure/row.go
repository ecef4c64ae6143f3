package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/measure/observe"
	"oleandersill.example/oleandersill/internal/model"
)

// rowRank is what a row covers: a rank, all ranks, or the non-idempotent requests.
type rowRank string

// Values of rowRank.
const (
	urgent   rowRank = "urgent"
	standard rowRank = "standard"
	deferred rowRank = "deferred"
	all      rowRank = "all"
	// execute is the row of the non-idempotent requests, which the other rows exclude.
	execute rowRank = "execute"
)

var rowRanks = []rowRank{urgent, standard, deferred, all, execute}

func (r rowRank) matches(s *observe.Sample) bool {
	if s.Command {
		return r == execute
	}
	return r == all || string(r) == s.Rank.String()
}

// Row is the result of a scenario for one policy and rank. Its figures are medians over the rounds; violations are summed.
type Row struct {
	Scenario   string       `json:"scenario"`
	Deployment string       `json:"deployment"`
	Policy     model.Policy `json:"policy"`
	Seed       uint64       `json:"seed"`
	Rounds     int          `json:"rounds"`
	Rank       rowRank      `json:"rank"`

	Offered  int `json:"offered"`
	Complete int `json:"complete"`
	Partial  int `json:"partial"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`

	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	// Coverage is the mean over the queries that were run. CoverageOffered is the mean over all queries, with 0 for those not
	// run.
	Coverage        float64 `json:"coverage"`
	CoverageOffered float64 `json:"coverage_offered"`
	ExtraLoad       float64 `json:"extra_load"`
	// Goodput is the rate of complete answers and OfferedRate that of all queries, in queries per second.
	Goodput     float64 `json:"goodput_qps"`
	OfferedRate float64 `json:"offered_qps"`
	// LastIncompleteS is the intended send time of the last query that was not answered completely, in seconds from the start
	// of the measured time.
	LastIncompleteS float64 `json:"last_incomplete_s"`

	// Violations are summed over the rounds. Those found in the stand-ins' records, in the answers to non-idempotent requests
	// and in the audit trail are in the row of all ranks.
	Violations observe.Violations `json:"violations"`

	// CapacityQPS is computed from slots and service time. CalibratedQPS is what the stand-ins sustained under direct load.
	CapacityQPS   float64 `json:"capacity_qps"`
	CalibratedQPS float64 `json:"calibrated_qps"`
	DurationS     float64 `json:"duration_s"`
	// DeadlineMs is the deadline of the queries; 0 means the rules' default.
	DeadlineMs int64 `json:"deadline_ms"`
	// LateSends counts the requests that the load generator sent late; MaxLateMs is the longest delay.
	LateSends int     `json:"late_sends"`
	MaxLateMs float64 `json:"max_late_ms"`
	Process   string  `json:"process"`

	// SpreadP99Ms and SpreadMaxMs are the p99 and the maximum of the times for a configuration change to be in force at a
	// daemon, over all rounds. They are set in the row of all ranks of scenarios with such changes.
	SpreadP99Ms float64 `json:"spread_p99_ms,omitempty"`
	SpreadMaxMs float64 `json:"spread_max_ms,omitempty"`

	// CPU is set in the row of all ranks if the rounds were profiled. It is taken from the round with the median total.
	CPU *observe.CPU `json:"cpu,omitempty"`

	Bounds []BoundResult `json:"bounds,omitempty"`
}

// median returns the median of the values: for an even number, the mean of the two middle ones. It returns 0 for none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	mid := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[mid]
	}
	return (sorted[mid-1] + sorted[mid]) / 2
}

// fill sets the row's figures from the rounds.
func (r *Row) fill(rounds []*round) {
	medianOf := func(get func(*round, observe.Figures) float64) float64 {
		values := make([]float64, 0, len(rounds))
		for _, x := range rounds {
			values = append(values, get(x, x.figures[r.Rank]))
		}
		return median(values)
	}
	count := func(o model.Outcome) int {
		return int(medianOf(func(_ *round, f observe.Figures) float64 { return float64(f.Outcomes[o]) }))
	}
	r.Offered = int(medianOf(func(_ *round, f observe.Figures) float64 { return float64(f.Offered) }))
	r.Complete = count(model.OutcomeComplete)
	r.Partial = count(model.OutcomePartial)
	r.NotRun = count(model.OutcomeNotRun)
	r.Failed = count(model.OutcomeFailed)
	r.Unknown = count(model.OutcomeUnknown)
	r.P50 = medianOf(func(_ *round, f observe.Figures) float64 { return f.P50 })
	r.P99 = medianOf(func(_ *round, f observe.Figures) float64 { return f.P99 })
	r.P999 = medianOf(func(_ *round, f observe.Figures) float64 { return f.P999 })
	r.Coverage = medianOf(func(_ *round, f observe.Figures) float64 { return f.Coverage })
	r.CoverageOffered = medianOf(func(_ *round, f observe.Figures) float64 { return f.CoverageOffered })
	r.ExtraLoad = medianOf(func(_ *round, f observe.Figures) float64 { return f.ExtraLoad })
	r.Goodput = medianOf(func(_ *round, f observe.Figures) float64 { return f.Goodput })
	r.LastIncompleteS = medianOf(func(_ *round, f observe.Figures) float64 { return f.LastIncomplete.Seconds() })
	r.LateSends = int(medianOf(func(x *round, _ observe.Figures) float64 { return float64(x.lateness.Late) }))
	r.MaxLateMs = medianOf(func(x *round, _ observe.Figures) float64 { return float64(x.lateness.Max.Microseconds()) / 1000 })
	r.OfferedRate = medianOf(func(x *round, f observe.Figures) float64 { return float64(f.Offered) / x.duration.Seconds() })
	r.DurationS = medianOf(func(x *round, _ observe.Figures) float64 { return x.duration.Seconds() })
	for _, x := range rounds {
		r.Violations.Add(x.figures[r.Rank].Violations)
		if r.Rank == all {
			r.Violations.Add(x.roundViolations)
		}
	}
	if r.Rank == all {
		r.CPU = medianCPU(rounds)
		r.SpreadP99Ms, r.SpreadMaxMs = propagationMs(rounds)
	}
}

// propagationMs returns the p99 and the maximum of the propagation times of all rounds, in milliseconds.
func propagationMs(rounds []*round) (p99, longest float64) {
	var times []time.Duration
	for _, x := range rounds {
		times = append(times, x.propagationTimes...)
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	rank := int(math.Ceil(0.99*float64(len(times)))) - 1
	return float64(times[rank].Milliseconds()), float64(times[len(times)-1].Milliseconds())
}

func medianCPU(rounds []*round) *observe.CPU {
	var list []*observe.CPU
	for _, x := range rounds {
		if x.cpu != nil {
			list = append(list, x.cpu)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *observe.CPU) int { return cmp.Compare(a.Total, b.Total) })
	return list[len(list)/2]
}
