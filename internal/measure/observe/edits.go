package observe

import (
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
)

// Edit is a configuration change with what its editor was told.
type Edit struct {
	// Reason identifies the edit in the audit trail.
	Reason  string
	Verdict configure.Verdict
	// Revision is the one that an accepted edit made.
	Revision model.Revision
}

// CheckEdits compares what editors were told with the audit trail, newest first. An accepted edit must be in it exactly
// once, at its revision, and a refused one must not be; no revision may be missing.
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
