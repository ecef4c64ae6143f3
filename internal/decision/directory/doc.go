// Package directory decides which backend servers exist, from entries in the platform's store that lag, lapse in outages and
// may be malformed. What a server says of itself stands until it says something else; silence stands only after a while.
package directory
