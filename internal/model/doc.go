// Package model defines the value types that all other packages share: identifiers, ranks, outcomes, coverage, routes, the
// inventory and the rules as operators write them, and the Topology, which is their immutable, indexed form for one
// revision. It performs no I/O and holds no locks.
package model
