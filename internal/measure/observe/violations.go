package observe

import (
	"math"
	"strconv"

	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/model"
)

// coverageTolerance allows for rounding in the X-Coverage header, which has six decimal places.
const coverageTolerance = 1e-6

// problemNotReady is the problem code of a daemon without a configuration in force.
var problemNotReady = httpapi.NotReady().Code

// Violations counts violations of the guarantees.
type Violations struct {
	// MixedSnapshot: an answer with items of another index version or shard map than it states.
	MixedSnapshot int `json:"mixed_snapshot"`
	// FalseCoverage: an answer whose stated coverage or outcome differs from its items.
	FalseCoverage int `json:"false_coverage"`
	// CrossedAnswer: an answer with items of another query.
	CrossedAnswer int `json:"crossed_answer"`
	// FalseNotRun: a request answered as not run that a server started.
	FalseNotRun int `json:"false_not_run"`
	// FalseComplete: a non-idempotent request answered as complete that no server started.
	FalseComplete int `json:"false_complete"`
	// DoubleRun: a non-idempotent request that ran more than once.
	DoubleRun int `json:"double_run"`
	// WorkAfterLeave: an execution that a server started more than 3 s after it began to leave.
	WorkAfterLeave int `json:"work_after_leave"`
	// CutOff: a request whose response was not received as a whole.
	CutOff int `json:"cut_off"`
	// ConfigReverted: an answer at a lower revision than an answer of the same daemon that was received before the query was
	// sent.
	ConfigReverted int `json:"config_reverted"`
	// Unconfigured: a request rejected because its daemon had no configuration in force.
	Unconfigured int `json:"unconfigured"`
	// FalseEdit: a configuration change whose verdict contradicts the audit trail, or a missing revision in the trail.
	FalseEdit int `json:"false_edit"`
}

// Add adds the counts of other.
func (v *Violations) Add(other Violations) {
	v.MixedSnapshot += other.MixedSnapshot
	v.FalseCoverage += other.FalseCoverage
	v.CrossedAnswer += other.CrossedAnswer
	v.FalseNotRun += other.FalseNotRun
	v.FalseComplete += other.FalseComplete
	v.DoubleRun += other.DoubleRun
	v.WorkAfterLeave += other.WorkAfterLeave
	v.CutOff += other.CutOff
	v.ConfigReverted += other.ConfigReverted
	v.Unconfigured += other.Unconfigured
	v.FalseEdit += other.FalseEdit
}

// Total returns the sum of all counts.
func (v *Violations) Total() int {
	return v.MixedSnapshot + v.FalseCoverage + v.CrossedAnswer + v.FalseNotRun + v.FalseComplete + v.DoubleRun + v.WorkAfterLeave +
		v.CutOff + v.ConfigReverted + v.Unconfigured + v.FalseEdit
}

// CheckAnswer compares the coverage, index version and shard map that an answer states with its items. The query's limit
// must be high enough for all items of all shards.
func CheckAnswer(a *Answer, maps ShardMaps) Violations {
	var v Violations
	if !a.Received {
		v.CutOff = 1
		return v
	}
	if a.Problem == problemNotReady {
		v.Unconfigured = 1
	}
	seen := map[model.ShardName]bool{}
	for _, item := range a.Body.Items {
		origin, ok := parseItem(item)
		if !ok || origin.text != a.Text {
			v.CrossedAnswer = 1
			continue
		}
		if origin.version != a.Body.Version || origin.epoch != a.Body.Epoch {
			v.MixedSnapshot = 1
		}
		seen[origin.shard] = true
	}
	if !coverageMatches(a, maps[a.Body.Epoch], seen) {
		v.FalseCoverage = 1
	}
	return v
}

// coverageMatches reports whether the body and the headers state the coverage and outcome that follow from the shards that
// have items in the answer.
func coverageMatches(a *Answer, shards map[model.ShardName]float64, seen map[model.ShardName]bool) bool {
	cov := a.Body.Coverage
	if a.Body.Outcome == "" && a.HeaderOutcome == string(model.OutcomeNotRun) {
		// A problem response, which rejects a request before anything is run, states its outcome in the header only.
		return len(a.Body.Items) == 0
	}
	if a.HeaderOutcome != string(a.Body.Outcome) {
		return false
	}
	if h, err := strconv.ParseFloat(a.HeaderCoverage, 64); err != nil || math.Abs(h-cov.Fraction) > coverageTolerance {
		return false
	}
	switch a.Body.Outcome {
	case model.OutcomeNotRun, model.OutcomeFailed, model.OutcomeUnknown:
		return len(seen) == 0 && cov.Fraction == 0 && !cov.Complete
	case model.OutcomeComplete, model.OutcomePartial:
	}
	missing := make(map[model.ShardName]bool, len(cov.Missing))
	for _, name := range cov.Missing {
		missing[name] = true
	}
	fraction := 0.0
	for name, f := range shards {
		if seen[name] == missing[name] {
			return false
		}
		if seen[name] {
			fraction += f
		}
	}
	whole := len(seen) == len(shards)
	return cov.ShardsAnswered == len(seen) && cov.Complete == whole &&
		(a.Body.Outcome == model.OutcomeComplete) == whole && math.Abs(cov.Fraction-fraction) <= coverageTolerance
}
