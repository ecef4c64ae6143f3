// Package load generates open-loop load. Arrivals are drawn ahead of time. A bounded pool of workers sends each one at its
// intended time or, if all workers are busy, later; late sends are counted.
package load
