// Package admission decides whether a request to a service starts immediately, waits in a queue or is refused. Ranks are
// served in order of urgency, except that a rank below its minimum share is served first; within a rank, callers are served
// round-robin. A request that cannot meet its deadline is refused before any backend server does work for it.
package admission
