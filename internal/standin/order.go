package standin

import "oleandersill.example/oleandersill/internal/lockorder"

// The lock order of the stand-ins. It starts above the daemon's orders (package tables), because a daemon's goroutine
// may call an in-memory stand-in in unit tests, and no stand-in calls back into a daemon.
const (
	// OrderBackendState: backendserver, faults and what the server holds.
	OrderBackendState lockorder.Order = iota + 101
	// OrderBackendQueue: backendserver, waiting and running requests.
	OrderBackendQueue
	// OrderBackendRecord: backendserver, the execution record, which servers may share.
	OrderBackendRecord
	// OrderPlatformFaults: platformserver, faults, rate limits and counters.
	OrderPlatformFaults
	// OrderPlatformData: platform entries, leases and instances.
	OrderPlatformData
	// OrderEndpoint: netfault, the server of an address and the requests that it is serving.
	OrderEndpoint
	// OrderListener: the open connections of a listener.
	OrderListener
)
