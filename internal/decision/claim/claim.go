package claim

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// MaxKeyAge is the greatest age of a key that is decided on; an older key is answered as unknown, because its claim may
// be gone.
const MaxKeyAge = 24 * time.Hour

// MaxClockSkew is how far in the future a key's time may lie, and how far the clocks of two daemons may differ.
const MaxClockSkew = 5 * time.Minute

// RecordRetention is the least time that a claim stays in the store. It exceeds Retention: a key made MaxSkew ahead is accepted
// until its claim is Retention + MaxSkew old, and for MaxSkew longer by a daemon whose clock is behind. A claim removed
// before that would let the key run again.
const RecordRetention = MaxKeyAge + 2*MaxClockSkew

// SendWindow is the time in which the holder of a claim may send its request, counted from before the claim was written.
const SendWindow = 3 * time.Second

// State is the state of a claim record.
type State string

// The states of a claim.
const (
	// StateClaimed: the holder may send the request, or has sent it.
	StateClaimed State = "claimed"
	// StateDone: the request ran; the record holds its result.
	StateDone State = "done"
	// StateReleased: the holder ended without running the request and will not send it.
	StateReleased State = "released"
)

// Record is a claim as it stands in the store.
type Record struct {
	State State `json:"state"`
	// Nonce is unique to the attempt at claiming; it tells a holder its own record after a lost reply.
	Nonce       string            `json:"nonce"`
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"instance_start"`
	// Digest identifies the request's content: a key that comes back with other content is rejected.
	Digest string `json:"digest"`
	Result string `json:"result,omitempty"`
	// CreatedMs is the holder's wall clock in Unix milliseconds, for people who read the record.
	CreatedMs int64 `json:"created_ms"`
}

// Done returns the record that replaces r once its request ran.
func (r Record) Done(result string) Record {
	r.State, r.Result = StateDone, result
	return r
}

// Released returns the record that replaces r once its holder has ended without running the request.
func (r Record) Released() Record {
	r.State = StateReleased
	return r
}

// Action is what a daemon may do about a request whose claim it read.
type Action int

// The actions.
const (
	// ActionSend: the record is this daemon's own; go on and send.
	ActionSend Action = iota
	// ActionTakeOver: the record was released; replace it by compare-and-swap and then send.
	ActionTakeOver
	// ActionReturnResult: the request ran; answer with the recorded result.
	ActionReturnResult
	// ActionUnknown: another holder may have sent the request; answer unknown and never send it.
	ActionUnknown
	// ActionReject: the key belongs to a request with other content.
	ActionReject
)

// Decide returns what the daemon whose claim would carry nonce and digest may do about an existing record.
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

// KeyAge classifies a key by the time that it carries.
type KeyAge int

// The ages of a key.
const (
	KeyCurrent KeyAge = iota
	KeyTooOld
	KeyFromFuture
)

// ClassifyKey tells whether a key made at keyTime can be decided on at now.
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
