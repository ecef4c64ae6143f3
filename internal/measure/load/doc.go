// Package load offers open-loop load: arrivals are drawn ahead of time, and a bounded pool of workers sends each one at
// its intended time or, if all of them are busy, late and counted as such.
package load
