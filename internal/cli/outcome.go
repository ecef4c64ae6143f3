package cli

import "oleandersill.example/oleandersill/internal/model"

// OutcomeFailure returns the *Failure with the exit code for a request's outcome, or nil if the outcome is complete.
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
