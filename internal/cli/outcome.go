package cli

import "oleandersill.example/oleandersill/internal/model"

// OutcomeFailure returns the *Failure with the exit code for a request's outcome, or nil if the outcome is complete.
// The exit code is ExitUnknown if the request was not run or its outcome is unknown, and otherwise ExitFailed.
func OutcomeFailure(o model.Outcome) error {
	switch o {
	case model.OutcomeComplete:
		return nil
	case model.OutcomeNotRun, model.OutcomeUnknown:
		return &Failure{Code: ExitUnknown}
	case model.OutcomePartial, model.OutcomeFailed:
	}
	return &Failure{Code: ExitFailed}
}
