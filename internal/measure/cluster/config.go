package cluster

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Config describes a cluster.
type Config struct {
	Inventory model.Inventory
	Rules     model.Rules
	// Policy is the daemons' policy.
	Policy model.Policy
	// Daemons is the number of daemons, placed over the inventory's zones in turn.
	Daemons int
	// ServiceTime is how long a sub-request holds a slot. Spread is the mean of an exponential addition to it.
	ServiceTime time.Duration
	Spread      time.Duration
	// Items is the number of matches in each shard.
	Items int
	Seed  uint64
	// LoadBalancer starts a load balancer that sends no requests to daemons that are not ready, and gives daemons the time to
	// be noticed when they drain.
	LoadBalancer bool
}
