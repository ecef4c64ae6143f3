package configure

import (
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Verdict reports whether a change was accepted.
type Verdict string

// Verdicts on a change.
const (
	// Accepted: the change is part of the configuration's history and will stay so.
	Accepted Verdict = "accepted"
	// NotAccepted: this call changed nothing and none of its writes can take effect later.
	NotAccepted Verdict = "not_accepted"
	// Unknown: the change may have been accepted, now or later. Applying it again with the same expected revision
	// determines the outcome without applying it twice.
	Unknown Verdict = "unknown"
)

// Cause classifies why a change was not accepted or is unknown.
type Cause string

// Causes of a verdict other than Accepted; an accepted change has none.
const (
	CauseInvalid Cause = "invalid"
	// CauseConflict: the configuration has changed since the expected revision.
	CauseConflict Cause = "conflict"
	// CauseRevisionAhead: the expected revision is higher than the store's.
	CauseRevisionAhead Cause = "expected_revision_ahead"
	// CauseNoRevision: the revision to roll back to does not exist or is no longer kept.
	CauseNoRevision Cause = "no_such_revision"
	// CauseUnavailable: the store did not answer in time.
	CauseUnavailable Cause = "store_unavailable"
)

// Change is a request to replace the whole configuration.
type Change struct {
	Inventory model.Inventory
	Rules     model.Rules
	// Expect is the revision that the operator's change is based on.
	Expect model.Revision
	Editor string
	Reason string
	// Merge allows the change to be combined with changes of other parts that were accepted since Expect.
	Merge bool
}

// Rollback is a request to apply the content of an earlier revision as a new revision.
type Rollback struct {
	// To is the revision to roll back to.
	To     model.Revision
	Expect model.Revision
	Editor string
	Reason string
}

// Result is the outcome of a change.
type Result struct {
	Verdict Verdict
	Cause   Cause
	// Root is the accepted root; nil with the other verdicts.
	Root *configdoc.Root
	// Repeated means that the revision was already accepted in an earlier call.
	Repeated bool
	// Merged means that the change was combined with the changes in Others.
	Merged bool
	// Current is the root in the store as last read; nil if it was not read or there is none.
	Current *configdoc.Root
	// Others are the changes accepted since the expected revision, newest first.
	Others []configdoc.Change
	// Parts are, after a conflict, the parts that this change and Others both change. Without a merge they show
	// whether merging would succeed.
	Parts []configdoc.PartName
	// Problems are the errors of an invalid change.
	Problems validation.Problems
	// Detail explains in one sentence why a change was not accepted or is unknown.
	Detail string
}
