package routing

import "time"

// RampUp is the time over which a server that joined gets its full share of work.
const RampUp = 3 * time.Second

// Admission returns the fraction of its normal load that a server takes when it joined at joined, in (0, 1].
func Admission(joined, now time.Time) float64 {
	age := now.Sub(joined)
	if age >= RampUp {
		return 1
	}
	return max(minAdmission, float64(age)/float64(RampUp))
}
