package measure

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Bound is one bound of section 1 of the design page.
type Bound struct {
	Text string
	// Rank is the rank whose row shows the bound; rankAll for the row of all ranks.
	Rank rowRank
	// figure returns the figure that the bound is about, the limit, and false if a row needed is not among those measured.
	figure func(b *comparison) (figure, limit float64, ok bool)
	// atLeast tells that the figure must reach the limit; otherwise it must not exceed it.
	atLeast bool
}

// BoundResult is a bound with what was measured.
type BoundResult struct {
	Bound  string  `json:"bound"`
	Figure float64 `json:"figure"`
	Limit  float64 `json:"limit"`
	// Holds is "yes", "no", or "not_evaluated" if a row to compare with was not measured in the same call.
	Holds string `json:"holds"`
}

// Values of BoundResult.Holds.
const (
	holdsYes     = "yes"
	holdsNo      = "no"
	notEvaluated = "not_evaluated"
)

// comparison holds the rows that a bound may look at: those of the scenario, and those of the steady state.
type comparison struct {
	own, baseline, steady map[rowRank]*Row
	capacity              float64
	rules                 model.Rules
}

func (b *Bound) result(on *comparison) BoundResult {
	figure, limit, ok := b.figure(on)
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

// p99Against bounds a p99 by a factor of that of other rows.
func p99Against(text string, factor float64, other func(*comparison) map[rowRank]*Row) Bound {
	return Bound{Text: text, Rank: urgent, figure: func(b *comparison) (float64, float64, bool) {
		row := other(b)[urgent]
		if row == nil {
			return b.own[urgent].P99, 0, false
		}
		return b.own[urgent].P99, factor * row.P99, true
	}}
}

func ofBaseline(b *comparison) map[rowRank]*Row { return b.baseline }
func ofSteady(b *comparison) map[rowRank]*Row   { return b.steady }

func atMost(text string, rank rowRank, limit float64, of func(*Row) float64) Bound {
	return Bound{Text: text, Rank: rank, figure: func(b *comparison) (float64, float64, bool) {
		return of(b.own[rank]), limit, true
	}}
}

func atLeast(text string, rank rowRank, limit float64, of func(*Row) float64) Bound {
	b := atMost(text, rank, limit, of)
	b.atLeast = true
	return b
}

func p99(r *Row) float64             { return r.P99 }
func extraLoad(r *Row) float64       { return r.ExtraLoad }
func coverageOffered(r *Row) float64 { return r.CoverageOffered }
func completeRatio(r *Row) float64   { return float64(r.Complete) / float64(max(1, r.Offered)) }

func goodputOfCapacity() Bound {
	return Bound{
		Text: "goodput >= 0.9 of capacity", Rank: all, atLeast: true,
		figure: func(b *comparison) (float64, float64, bool) { return b.own[all].Goodput, 0.9 * b.capacity, true },
	}
}

// keepsShare bounds a rank's rate of complete answers by a part of its minimum share, or of its offered load if that is
// less.
func keepsShare(text string, rank rowRank, part float64) Bound {
	return Bound{Text: text, Rank: rank, atLeast: true, figure: func(b *comparison) (float64, float64, bool) {
		row := b.own[rank]
		return completeRatio(row) * row.OfferedRate, part * min(b.minShare(rank)*b.capacity, row.OfferedRate), true
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

// recovered bounds the send time of the last incomplete answer.
func recovered(text string, within time.Duration) Bound {
	return atMost(text, all, within.Seconds(), func(r *Row) float64 { return r.LastIncompleteS })
}

func steadyBounds() []Bound {
	return []Bound{
		atLeast("coverage >= 0.9999", all, 0.9999, coverageOffered),
		atMost("extra load <= 1.05", all, 1.05, extraLoad),
		p99Against("urgent p99 <= baseline", 1, ofBaseline),
		atMost("urgent p99 <= 150 ms", urgent, 150, p99),
	}
}

func stragglerBounds() []Bound {
	return []Bound{
		p99Against("urgent p99 <= 1/3 of baseline", 1.0/3, ofBaseline),
		atMost("extra load <= 1.05", all, 1.05, extraLoad),
	}
}

func floodLowBounds() []Bound {
	return []Bound{
		p99Against("urgent p99 <= 1.3x steady", 1.3, ofSteady),
		atLeast("urgent complete >= 0.999", urgent, 0.999, completeRatio),
		goodputOfCapacity(),
		keepsShare("middle rank keeps its share", standard, 1),
	}
}

func floodUrgentBounds() []Bound {
	return []Bound{
		keepsShare("standard keeps >= 0.95 of its minimum share", standard, 0.95),
		keepsShare("deferred keeps >= 0.95 of its minimum share", deferred, 0.95),
		goodputOfCapacity(),
	}
}

func versionRollBounds() []Bound {
	return []Bound{
		atMost("no mixed answer", all, 0, func(r *Row) float64 { return float64(r.Violations.MixedSnapshot) }),
		atLeast("coverage >= 0.99", all, 0.99, coverageOffered),
	}
}

func replicaLossBounds() []Bound {
	return []Bound{
		atLeast("coverage >= 0.999", all, 0.999, coverageOffered),
		recovered("steady again within 2 s of the loss", faultAt+2*time.Second),
	}
}

func zoneCutBounds() []Bound {
	return []Bound{recovered("whole again within 5 s of healing", faultAt+cutTime+5*time.Second)}
}

func coldStartBounds() []Bound {
	return []Bound{p99Against("urgent p99 <= 1.2x steady", 1.2, ofSteady)}
}

func spreadBounds() []Bound {
	return append(slowSpreadBounds(),
		atMost("configuration change in force everywhere: p99 <= 2 s", all, 2000, func(r *Row) float64 { return r.SpreadP99Ms }))
}

// slowSpreadBounds are those that hold with a slow store or a zone apart from the platform, too.
func slowSpreadBounds() []Bound {
	return []Bound{
		atMost("configuration change in force everywhere: never over 16 s", all, 16_000,
			func(r *Row) float64 { return r.SpreadMaxMs }),
	}
}

// noViolation bounds every scenario.
func noViolation() Bound {
	return atMost("no violation of a guarantee", all, 0, func(r *Row) float64 { return float64(r.Violations.Total()) })
}

func falseHealthBounds() []Bound {
	return []Bound{p99Against("urgent p99 <= 1.5x the value with honest reports (steady)", 1.5, ofSteady)}
}
