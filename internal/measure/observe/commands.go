package observe

import "oleandersill.example/oleandersill/internal/model"

// Command is a non-idempotent request with the answers that its caller received, in order. All sends of it have the same
// idempotency key.
type Command struct {
	Key     string
	Answers []CommandAnswer
}

// CommandAnswer is the answer to one send of a non-idempotent request.
type CommandAnswer struct {
	// Outcome is unknown if the response was not received as a whole.
	Outcome model.Outcome
	// Received means that the whole HTTP response was received.
	Received bool
	// Problem is the problem code of a request that was rejected before it was run, or empty.
	Problem string
	// Reason is the reason of an outcome other than complete.
	Reason string
}

// CountReasons counts the reasons of all answers.
func CountReasons(commands []Command) map[string]int {
	counts := map[string]int{}
	for _, c := range commands {
		for _, a := range c.Answers {
			if a.Reason != "" {
				counts[a.Reason]++
			}
		}
	}
	return counts
}

// CheckCommands compares the answers that callers received with the number of runs of each key on the servers.
func CheckCommands(commands []Command, runsByKey map[string]int) Violations {
	var v Violations
	for _, c := range commands {
		complete, notRun := 0, 0
		for _, a := range c.Answers {
			if !a.Received {
				v.CutOff++
			}
			if a.Problem == problemNotReady {
				v.Unconfigured++
			}
			switch a.Outcome {
			case model.OutcomeComplete:
				complete++
			case model.OutcomeNotRun:
				notRun++
			case model.OutcomePartial, model.OutcomeFailed, model.OutcomeUnknown:
			}
		}
		runs := runsByKey[c.Key]
		if runs > 0 && notRun == len(c.Answers) {
			v.FalseNotRun++
		}
		if runs == 0 && complete > 0 {
			v.FalseComplete++
		}
	}
	return v
}
