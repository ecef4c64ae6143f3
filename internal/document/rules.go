package document

import (
	"fmt"
	"math"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Limits of the rules.
const (
	MaxDurationMs = 600_000
	MinWindowMs   = 100
	MaxWindowMs   = 60_000
	// MaxHedgeRatio is the upper bound on the hedge ratio, which the system guarantees whatever the rules say.
	MaxHedgeRatio = 0.05
	MaxAttempts   = 10
	// MaxCallerBytes is the maximum length of a caller's name.
	MaxCallerBytes = 256
)

// shareTolerance allows for rounding errors: a sum of decimal fractions such as 0.7 + 0.2 + 0.1 counts as 1.
const shareTolerance = 1e-9

// ValidateRules returns every problem of the rules. The problems have no file and no line.
func ValidateRules(rules model.Rules) validation.Problems {
	var ps validation.Problems
	checkRanks(&ps, rules.Ranks)
	checkCallers(&ps, rules.Callers)
	checkHedge(&ps, rules.Hedge)
	validation.CheckRange(&ps, "retry.max_ratio", rules.Retry.MaxRatio, 0, 1)
	validation.CheckRange(&ps, "retry.window_ms", rules.Retry.WindowMs, MinWindowMs, MaxWindowMs)
	validation.CheckRange(&ps, "retry.max_attempts", rules.Retry.MaxAttempts, 1, MaxAttempts)
	validation.CheckRange(&ps, "deadlines.max_ms", rules.Deadlines.MaxMs, 1, MaxDurationMs)
	validation.CheckRange(&ps, "deadlines.default_ms", rules.Deadlines.DefaultMs, 1, max(1, rules.Deadlines.MaxMs))
	return ps
}

func checkRanks(ps *validation.Problems, rules []model.RankRule) {
	seen := map[string]bool{}
	sum := 0.0
	for i, r := range rules {
		at := fmt.Sprintf("ranks[%d]", i)
		checkRankName(ps, at+".rank", r.Rank)
		if seen[r.Rank] {
			ps.Add(validation.KindDuplicate, at+".rank", "", "rank %q has two rules", r.Rank)
		}
		seen[r.Rank] = true
		validation.CheckRange(ps, at+".min_share", r.MinShare, 0, 1)
		validation.CheckRange(ps, at+".target_ms", r.TargetMs, 1, MaxDurationMs)
		validation.CheckRange(ps, at+".max_queue_ms", r.MaxQueueMs, 0, MaxDurationMs)
		sum += r.MinShare
	}
	for rank := range model.Rank(model.RankCount) {
		if !seen[rank.String()] {
			ps.Add(validation.KindMissing, "ranks", rankNames(), "rank %q has no rule", rank)
		}
	}
	if !(sum <= 1+shareTolerance) && !math.IsNaN(sum) {
		ps.Add(validation.KindRange, "ranks", "a sum of 0 to 1", "the minimum shares add up to %.4g", sum)
	}
}

func checkRankName(ps *validation.Problems, field, name string) {
	if _, ok := model.ParseRank(name); !ok {
		ps.Add(validation.KindReference, field, rankNames(), "rank %q does not exist", name)
	}
}

func rankNames() string {
	names := make([]string, model.RankCount)
	for i := range names {
		names[i] = model.Rank(i).String()
	}
	return strings.Join(names, ", ")
}

func checkCallers(ps *validation.Problems, callers []model.CallerRule) {
	seen := map[model.CallerName]bool{}
	for i, c := range callers {
		at := fmt.Sprintf("callers[%d]", i)
		if c.Caller == "" || len(c.Caller) > MaxCallerBytes {
			ps.Add(validation.KindMalformed, at+".caller", fmt.Sprintf("1 to %d bytes", MaxCallerBytes), "is %q", c.Caller)
		}
		if seen[c.Caller] {
			ps.Add(validation.KindDuplicate, at+".caller", "", "caller %q has two rules", c.Caller)
		}
		seen[c.Caller] = true
		checkRankName(ps, at+".rank", c.Rank)
	}
}

func checkHedge(ps *validation.Problems, h model.HedgeRule) {
	validation.CheckRange(ps, "hedge.max_ratio", h.MaxRatio, 0, MaxHedgeRatio)
	validation.CheckRange(ps, "hedge.window_ms", h.WindowMs, MinWindowMs, MaxWindowMs)
	validation.CheckRange(ps, "hedge.min_delay_ms", h.MinDelayMs, 0, MaxDurationMs)
	if !(h.Quantile > 0 && h.Quantile < 1) {
		ps.Add(validation.KindRange, "hedge.quantile", "above 0 and below 1", "is %v", h.Quantile)
	}
}
