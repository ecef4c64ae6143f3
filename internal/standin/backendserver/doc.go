// Package backendserver is a stand-in for a backend server, with injected faults.
//
// Requests wait in a short bounded queue and are run by a pool with one worker for each slot of the server. Items are
// generated from the shard, the epoch, the version and the query's text, so that a merged result can be verified. The
// Record lists every request that was started, independently of the replies that daemons received.
//
// As in the rest of the code, commands and queries are apart: commands.go and control.go change state, queries.go and
// inspect.go only read. Package standin defines the lock order: state before queue before record.
package backendserver
