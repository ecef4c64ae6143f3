package budget

import "time"

// sizeHold is how long a fleet must be smaller before its daemons take over the part of those that are gone. In an outage of
// the store the entries of daemons lapse that still run; they are back within the interval of a renewal.
const sizeHold = 20 * time.Second

// settleHold is how long the assumed size holds after the first daemons are known. Daemons that start together, or that waited
// for the store together, have told of themselves by then.
const settleHold = 3 * time.Second

// FleetSize is the number of daemons that divide the budgets, from the daemons that are known. It grows at once and shrinks late.
// Create it with NewSize. It is not safe for concurrent use.
type FleetSize struct {
	daemons int
	// hold is how long the fleet must be smaller: settleHold at first, sizeHold later.
	hold time.Duration
	// smaller is the largest number that was known since shrinking, which is zero while the fleet is not smaller.
	smaller   int
	shrinking time.Time
}

// NewFleetSize returns a size that holds until daemons are known.
func NewFleetSize(assumed int) FleetSize {
	return FleetSize{daemons: max(1, assumed), hold: settleHold}
}

// Observe takes the number of daemons that are known at now.
func (s *FleetSize) Observe(daemons int, now time.Time) {
	daemons = max(1, daemons)
	switch {
	case daemons >= s.daemons:
		*s = FleetSize{daemons: daemons, hold: sizeHold}
	case s.shrinking.IsZero():
		s.smaller, s.shrinking = daemons, now
	default:
		s.smaller = max(s.smaller, daemons)
	}
}

// At returns the number of daemons that divide the budgets at now.
func (s *FleetSize) At(now time.Time) int {
	if !s.shrinking.IsZero() && now.Sub(s.shrinking) >= s.hold {
		*s = FleetSize{daemons: s.smaller, hold: sizeHold}
	}
	return s.daemons
}
