package claim

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxKeyAge is the maximum age of a key that is accepted. The outcome of an older key is unknown, because its claim may have
// been removed.
const MaxKeyAge = 24 * time.Hour

// MaxClockSkew is how far a key's time may be in the future, and the assumed bound of the difference between two daemons'
// clocks.
const MaxClockSkew = 5 * time.Minute

// RecordRetention is the minimum time that a claim stays in the store. It exceeds MaxKeyAge: a key whose time is MaxClockSkew
// in the future is accepted until its claim is MaxKeyAge + MaxClockSkew old, and for another MaxClockSkew by a daemon whose
// clock is behind. If the claim were removed earlier, the request could run a second time.
const RecordRetention = MaxKeyAge + 2*MaxClockSkew

// SendWindow is how long the holder of a claim may send its request, counted from a time before the claim was written.
const SendWindow = 3 * time.Second

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateClaimed: the holder may send the request, or has sent it.
	StateClaimed State = "claimed"
	// StateDone: the request ran; the record holds its result.
	StateDone State = "done"
	// StateReleased: the request did not run, and the holder will not send it.
	StateReleased State = "released"
)

// Record is a claim as the store holds it.
type Record struct {
	State State `json:"state"`
	// Nonce is unique to each attempt to create a claim. A holder whose write's reply was lost identifies its own record by it.
	Nonce       string            `json:"nonce"`
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"instance_start"`
	// Digest identifies the request's content: a key that is reused for other content is rejected.
	Digest string `json:"digest"`
	Result string `json:"result,omitempty"`
	// CreatedMs is the holder's wall clock time in Unix milliseconds. It is for human readers only.
	CreatedMs int64 `json:"created_ms"`
}

// Done returns the record that replaces r after its request ran.
func (r Record) Done(result string) Record {
	r.State, r.Result = StateDone, result
	return r
}

// Released returns the record that replaces r after its holder abandoned it without running the request.
func (r Record) Released() Record {
	r.State = StateReleased
	return r
}

// Action is what a daemon does with a request after it read the request's claim.
type Action int

// The actions.
const (
	// ActionSend: this daemon holds the claim; send the request.
	ActionSend Action = iota
	// ActionTakeOver: the claim was released; replace the record by compare-and-swap, then send the request.
	ActionTakeOver
	// ActionReturnResult: the request ran; return the recorded result.
	ActionReturnResult
	// ActionUnknown: another holder may have sent the request; return an unknown outcome and do not send it.
	ActionUnknown
	// ActionReject: the key was used for a request with other content.
	ActionReject
)

// Decide returns the action of a daemon that tried to create a claim with the given nonce and digest and found existing.
func Decide(existing Record, nonce, digest string) Action {
	if existing.Digest != digest {
		return ActionReject
	}
	switch existing.State {
	case StateDone:
		return ActionReturnResult
	case StateReleased:
		return ActionTakeOver
	case StateClaimed:
		if existing.Nonce == nonce {
			return ActionSend
		}
	}
	return ActionUnknown
}

// KeyAge classifies a key by its time.
type KeyAge int

// The ages of a key.
const (
	// KeyCurrent: the key is accepted.
	KeyCurrent KeyAge = iota
	// KeyTooOld: the key is older than MaxKeyAge.
	KeyTooOld
	// KeyFromFuture: the key's time is more than MaxClockSkew in the future.
	KeyFromFuture
)

// ClassifyKey classifies a key that was created at keyTime by its age at now.
func ClassifyKey(keyTime, now time.Time) KeyAge {
	age := now.Sub(keyTime)
	switch {
	case age > MaxKeyAge:
		return KeyTooOld
	case age < -MaxClockSkew:
		return KeyFromFuture
	}
	return KeyCurrent
}
