// Package fairshare measures each rank's share of the recently served requests and decides which waiting rank is furthest
// below its minimum share. Callers serve that rank first and the most urgent one if none is below its minimum.
package fairshare
