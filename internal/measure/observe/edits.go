package observe

import (
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
)

// Edit is a configuration change with the verdict that its editor received.
type Edit struct {
	// Reason identifies the edit in the audit trail.
	Reason  string
	Verdict configure.Verdict
	// Revision is the revision that an accepted edit created.
	Revision model.Revision
}

// CheckEdits compares the verdicts that editors received with the audit trail, whose newest change comes first. An accepted
// edit must be in the trail exactly once, at its revision. A rejected edit must not be in it. No revision may be missing.
func CheckEdits(edits []Edit, trail []configdoc.Change) Violations {
	var v Violations
	found := map[string][]model.Revision{}
	for i, c := range trail {
		found[c.Reason] = append(found[c.Reason], c.Revision)
		if i > 0 && c.Revision+1 != trail[i-1].Revision {
			v.FalseEdit++
		}
	}
	for _, e := range edits {
		at := found[e.Reason]
		switch {
		case len(at) > 1,
			e.Verdict == configure.NotAccepted && len(at) > 0,
			e.Verdict == configure.Accepted && (len(at) == 0 || at[0] != e.Revision):
			v.FalseEdit++
		}
	}
	return v
}
