// Package model holds the plain values that every other package shares: identifiers, ranks, outcomes, coverage, the
// inventory and the rules as operators write them, and the Topology, which is their immutable, indexed form for one
// revision. It performs no I/O and holds no locks.
package model
