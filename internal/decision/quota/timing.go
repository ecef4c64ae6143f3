package quota

import "time"

const (
	// ConfirmInterval is the time between two confirmations that a daemon asks of each zone.
	ConfirmInterval = 250 * time.Millisecond
	// ConfirmTimeout is the time that a daemon has to answer. One that was killed or paused is noticed within this and
	// ConfirmInterval.
	ConfirmTimeout = 250 * time.Millisecond
	// Validity is how long after it was asked for a confirmation holds. It allows some of them to be lost.
	Validity = 1250 * time.Millisecond
	// Handover is how long a daemon has to be confirmed without interruption before it grants the first token. It exceeds Validity by
	// more than a pause that is not detected, so that the daemon that granted before has stopped by then.
	Handover = Validity + minPause + 200*time.Millisecond
	// JoinWait is how long a daemon that joined grants nothing, until all others know it. Handover is a part of it.
	JoinWait = 3 * time.Second
	// DepartureMemory is how long a member that left the list of members still counts as a possible owner. By then it has been
	// without confirmations for longer than a window.
	DepartureMemory = 10 * time.Second

	// TickInterval is the time between the ticks of a process that runs, and minPause the time without a tick that counts as a pause.
	TickInterval = 100 * time.Millisecond
	minPause     = 800 * time.Millisecond
	// suspectMemory is how long a member is probed after it was last asked about.
	suspectMemory = 3 * time.Second
	// MaxSuspects is the maximum number of members that a daemon probes at a time, and that a message lists.
	MaxSuspects = 32
)
