// Package backendserver is a stand-in for one backend server, with injected faults.
//
// Requests wait in a short bounded queue and a pool of as many workers as the server has slots runs them. Items are
// generated from the shard, the epoch, the version and the query's text, so that a merged answer can be checked. The
// Record lists every request that was started, independently of what daemons were told.
//
// Files are divided like the rest of the code: commands.go and control.go change state, queries.go and inspect.go read.
// The lock order is given in package standin: state before queue before record.
package backendserver
