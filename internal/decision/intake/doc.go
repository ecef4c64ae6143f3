// Package intake decides which connections a process keeps when callers send more, or read less, than it has memory or connections
// for. The load that it answers is many clients at once that send large bodies or many header fields and stop before the end, send
// or read very slowly, or hold connections that they do not use. Most of what such clients hold belongs to requests that are
// incomplete or to responses that nobody reads, so those are given up first, those that are furthest behind before all others. A
// complete request that is being served is never given up.
//
// The package also divides a process's memory and file descriptors, and counts the header section of a request while it arrives.
package intake
