package standin

import "oleandersill.example/oleandersill/internal/lockorder"

// Lock orders of the stand-ins. They are above the orders of the daemon's locks (package tables): in unit tests a daemon's
// goroutine may call an in-memory stand-in, and no stand-in calls back into a daemon.
const (
	// OrderBackendState is the order of backendserver's lock on the faults, shards and index versions.
	OrderBackendState lockorder.Order = iota + 101
	// OrderBackendQueue is the order of backendserver's lock on the waiting and running requests.
	OrderBackendQueue
	// OrderBackendRecord is the order of backendserver's lock on an execution record, which servers may share.
	OrderBackendRecord
	// OrderPlatformFaults is the order of platformserver's lock on the faults, rate limits and counters.
	OrderPlatformFaults
	// OrderPlatformData is the order of the lock on the platform's entries, leases and instances.
	OrderPlatformData
	// OrderEndpoint is the order of netfault's lock on an endpoint's HTTP server and its active requests.
	OrderEndpoint
	// OrderListener is the order of netfault's lock on the open connections of a listener.
	OrderListener
)
