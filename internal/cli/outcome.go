package cli

import "oleandersill.example/oleandersill/internal/model"

// OutcomeFailure returns the failure with which the tool ends after an answer with the outcome; nil if it is complete.
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
