package measure

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Bound is a limit that a figure of a row must meet. The limits are those of section 1 of the design page.
type Bound struct {
	Text string
	// Rank selects the row that reports the bound.
	Rank rowRank
	// figure returns the figure and its limit. ok is false if a row to compare with was not measured.
	figure func(b *comparison) (figure, limit float64, ok bool)
	// atLeast means that the limit is a lower bound; otherwise it is an upper bound.
	atLeast bool
}

// BoundResult is a bound with the measured figure.
type BoundResult struct {
	Bound  string  `json:"bound"`
	Figure float64 `json:"figure"`
	Limit  float64 `json:"limit"`
	// Holds is "yes", "no", or "not_evaluated" if a row to compare with was not measured in the same run.
	Holds string `json:"holds"`
}

// Values of BoundResult.Holds.
const (
	holdsYes     = "yes"
	holdsNo      = "no"
	notEvaluated = "not_evaluated"
)

// comparison holds the rows that a bound may compare: those of the scenario under the default and the baseline policy, and
// those of the steady scenario under the default policy.
type comparison struct {
	own, baseline, steady map[rowRank]*Row
	capacity              float64
	rules                 model.Rules
}

func (b *Bound) result(c *comparison) BoundResult {
	figure, limit, ok := b.figure(c)
	r := BoundResult{Bound: b.Text, Figure: figure, Limit: limit, Holds: notEvaluated}
	if !ok {
		return r
	}
	r.Holds = holdsNo
	if (b.atLeast && figure >= limit) || (!b.atLeast && figure <= limit) {
		r.Holds = holdsYes
	}
	return r
}

// relativeP99Bound limits the p99 of the urgent rank to a multiple of the p99 in other rows.
func relativeP99Bound(text string, factor float64, other func(*comparison) map[rowRank]*Row) Bound {
	return Bound{Text: text, Rank: urgent, figure: func(b *comparison) (float64, float64, bool) {
		row := other(b)[urgent]
		if row == nil {
			return b.own[urgent].P99, 0, false
		}
		return b.own[urgent].P99, factor * row.P99, true
	}}
}

func baselineRows(b *comparison) map[rowRank]*Row { return b.baseline }
func steadyRows(b *comparison) map[rowRank]*Row   { return b.steady }

func atMost(text string, rank rowRank, limit float64, metric func(*Row) float64) Bound {
	return Bound{Text: text, Rank: rank, figure: func(b *comparison) (float64, float64, bool) {
		return metric(b.own[rank]), limit, true
	}}
}

func atLeast(text string, rank rowRank, limit float64, metric func(*Row) float64) Bound {
	b := atMost(text, rank, limit, metric)
	b.atLeast = true
	return b
}

func p99(r *Row) float64             { return r.P99 }
func extraLoad(r *Row) float64       { return r.ExtraLoad }
func coverageOffered(r *Row) float64 { return r.CoverageOffered }
func completeRatio(r *Row) float64   { return float64(r.Complete) / float64(max(1, r.Offered)) }

func goodputBound() Bound {
	return Bound{
		Text: "goodput >= 0.9 of capacity", Rank: all, atLeast: true,
		figure: func(b *comparison) (float64, float64, bool) { return b.own[all].Goodput, 0.9 * b.capacity, true },
	}
}

// minShareBound requires a rate of complete answers of a rank: a fraction of its minimum share, or of its offered load if
// that is less.
func minShareBound(text string, rank rowRank, fraction float64) Bound {
	return Bound{Text: text, Rank: rank, atLeast: true, figure: func(b *comparison) (float64, float64, bool) {
		row := b.own[rank]
		return completeRatio(row) * row.OfferedRate, fraction * min(b.minShare(rank)*b.capacity, row.OfferedRate), true
	}}
}

func (b *comparison) minShare(rank rowRank) float64 {
	for _, r := range b.rules.Ranks {
		if r.Rank == string(rank) {
			return r.MinShare
		}
	}
	return 0
}

// recoveryBound limits the send time of the last query that was not answered completely.
func recoveryBound(text string, within time.Duration) Bound {
	return atMost(text, all, within.Seconds(), func(r *Row) float64 { return r.LastIncompleteS })
}

func steadyBounds() []Bound {
	return []Bound{
		atLeast("coverage >= 0.9999", all, 0.9999, coverageOffered),
		atMost("extra load <= 1.05", all, 1.05, extraLoad),
		relativeP99Bound("urgent p99 <= baseline", 1, baselineRows),
		atMost("urgent p99 <= 150 ms", urgent, 150, p99),
	}
}

func stragglerBounds() []Bound {
	return []Bound{
		relativeP99Bound("urgent p99 <= 1/3 of baseline", 1.0/3, baselineRows),
		atMost("extra load <= 1.05", all, 1.05, extraLoad),
	}
}

func floodLowBounds() []Bound {
	return []Bound{
		relativeP99Bound("urgent p99 <= 1.3x steady", 1.3, steadyRows),
		atLeast("urgent complete >= 0.999", urgent, 0.999, completeRatio),
		goodputBound(),
		minShareBound("middle rank keeps its share", standard, 1),
	}
}

func floodUrgentBounds() []Bound {
	return []Bound{
		minShareBound("standard keeps >= 0.95 of its minimum share", standard, 0.95),
		minShareBound("deferred keeps >= 0.95 of its minimum share", deferred, 0.95),
		goodputBound(),
	}
}

func versionRolloutBounds() []Bound {
	return []Bound{
		atMost("no mixed answer", all, 0, func(r *Row) float64 { return float64(r.Violations.MixedSnapshot) }),
		atLeast("coverage >= 0.99", all, 0.99, coverageOffered),
	}
}

func replicaLossBounds() []Bound {
	return []Bound{
		atLeast("coverage >= 0.999", all, 0.999, coverageOffered),
		recoveryBound("steady again within 2 s of the loss", faultAt+2*time.Second),
	}
}

func zonePartitionBounds() []Bound {
	return []Bound{recoveryBound("whole again within 5 s of healing", faultAt+partitionDuration+5*time.Second)}
}

func coldStartBounds() []Bound {
	return []Bound{relativeP99Bound("urgent p99 <= 1.2x steady", 1.2, steadyRows)}
}

func propagationBounds() []Bound {
	return append(propagationLimitBounds(),
		atMost("configuration change in force everywhere: p99 <= 2 s", all, 2000, func(r *Row) float64 { return r.SpreadP99Ms }))
}

// propagationLimitBounds returns the bounds that also hold while the store is slow or a zone is partitioned from the
// platform.
func propagationLimitBounds() []Bound {
	return []Bound{
		atMost("configuration change in force everywhere: never over 16 s", all, 16_000,
			func(r *Row) float64 { return r.SpreadMaxMs }),
	}
}

// noViolationsBound applies to every scenario.
func noViolationsBound() Bound {
	return atMost("no violation of a guarantee", all, 0, func(r *Row) float64 { return float64(r.Violations.Total()) })
}

func falseHealthBounds() []Bound {
	return []Bound{relativeP99Bound("urgent p99 <= 1.5x the value with honest reports (steady)", 1.5, steadyRows)}
}
