package budget

// maxUnsent bounds UnsentAttempts, so that a request does not go from server to server until its deadline.
const maxUnsent = 3

// UnsentAttempts counts the attempts of a request that ended before they were sent and do not count toward the route's attempt
// limit, since they cost no server anything. It is not safe for concurrent use.
type UnsentAttempts int

// Waive records an attempt that was not sent. It reports whether the attempt does not count toward the limit.
func (u *UnsentAttempts) Waive() bool {
	if *u >= maxUnsent {
		return false
	}
	*u++
	return true
}
