package quota

import "time"

// CreditLine holds the requests that an agent admitted before the workspace's owner granted them. Its zero value has no debt. The
// debt is never forgiven, also if the owner changes: it bounds how many requests the agent admits in addition to the grants. It is
// not safe for concurrent use.
type CreditLine struct {
	debt int
	// emptyUntil is when the owner has the next token, as far as the agent knows.
	emptyUntil time.Time
}

// Debt returns the number of admitted requests that the owner has not granted yet.
func (c *CreditLine) Debt() int { return c.debt }

// Admit admits up to n requests within the overdraft and returns how many. While the owner is known to have no token it admits none
// and returns the time until the next token.
func (c *CreditLine) Admit(n, overdraft int, now time.Time) (admitted int, empty time.Duration) {
	if empty = c.emptyUntil.Sub(now); empty > 0 {
		return 0, empty
	}
	admitted = max(0, min(n, overdraft-c.debt))
	c.debt += admitted
	return admitted, 0
}

// Cover records that the owner granted n of the admitted requests.
func (c *CreditLine) Cover(n int) { c.debt -= min(n, c.debt) }

// SetEmpty records that the owner has no token until the given time.
func (c *CreditLine) SetEmpty(until time.Time) { c.emptyUntil = until }
