package budget

import "time"

// shrinkDelay is how long fewer daemons must be known before the size shrinks and they take over the budget of the others. In
// a store outage, entries of daemons that still run expire; they are written again within one renewal interval.
const shrinkDelay = 20 * time.Second

// initialShrinkDelay is how long the assumed size stays in use after the first daemons are known. Daemons that start at the
// same time, or that waited for the store at the same time, have registered by then.
const initialShrinkDelay = 3 * time.Second

// FleetSize is the number of daemons that divide the budgets. It follows the number of known daemons: up immediately, down
// after a delay. Create it with NewFleetSize. It is not safe for concurrent use.
type FleetSize struct {
	daemons int
	// delay is how long the number of known daemons must be smaller: initialShrinkDelay at first, shrinkDelay later.
	delay time.Duration
	// largest is the largest number of known daemons since smallerSince, which is zero unless fewer than daemons are known.
	largest      int
	smallerSince time.Time
}

// NewFleetSize returns the assumed size, which is used until daemons are known.
func NewFleetSize(assumed int) FleetSize {
	return FleetSize{daemons: max(1, assumed), delay: initialShrinkDelay}
}

// Observe records the number of daemons that are known at now.
func (s *FleetSize) Observe(daemons int, now time.Time) {
	daemons = max(1, daemons)
	switch {
	case daemons >= s.daemons:
		*s = FleetSize{daemons: daemons, delay: shrinkDelay}
	case s.smallerSince.IsZero():
		s.largest, s.smallerSince = daemons, now
	default:
		s.largest = max(s.largest, daemons)
	}
}

// At returns the number of daemons that divide the budgets at now.
func (s *FleetSize) At(now time.Time) int {
	if !s.smallerSince.IsZero() && now.Sub(s.smallerSince) >= s.delay {
		*s = FleetSize{daemons: s.largest, delay: shrinkDelay}
	}
	return s.daemons
}
