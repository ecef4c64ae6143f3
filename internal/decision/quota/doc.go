// Package quota decides which requests of a workspace are within its quota over the whole fleet. A Bucket holds the tokens of the
// workspace at the daemon that owns it, a CreditLine the requests that an agent admitted before the owner granted them, a Placement
// which daemons those are, and Reach which share of the quota a daemon may grant at all.
//
// All times are read from one clock that also advances while the machine is suspended, and are passed in.
package quota
