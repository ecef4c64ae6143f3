// Package admission decides when a request of a service starts: at once, after waiting, or never. Ranks are served by
// urgency, except that a rank below its minimum share goes first; within a rank the caller that was served least goes
// first. A request that cannot meet its deadline is refused before it costs a backend server anything.
package admission
