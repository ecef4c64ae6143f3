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
	// Daemons is the number of daemons, assigned to the inventory's zones round-robin.
	Daemons int
	// A sub-request holds a slot for ServiceTime plus an exponentially distributed time with the mean Spread.
	ServiceTime time.Duration
	Spread      time.Duration
	// Items is the number of items in each shard that match a query.
	Items int
	Seed  uint64
	// LoadBalancer starts a load balancer that sends no requests to daemons that are not ready. Draining daemons then keep
	// the default grace period, within which the load balancer notices that they are not ready.
	LoadBalancer bool
}
