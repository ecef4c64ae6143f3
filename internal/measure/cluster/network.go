package cluster

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/model"
)

// One-way latencies; the values are those of section 1 of the design page.
const (
	latencyZones   = 1 * time.Millisecond
	latencyRegions = 10 * time.Millisecond
	latencyClient  = 1 * time.Millisecond
	// dialTimeout limits the time to open a connection, also across a partition.
	dialTimeout = 2 * time.Second
)

// ErrClosed means that a connection was closed or a context ended during a wait.
var ErrClosed = errors.New("cluster: connection closed or context done")

// Role is what is at an end of a network path.
type Role uint8

// The roles.
const (
	// RoleMember: a daemon or a backend server.
	RoleMember Role = iota
	// RolePlatform: the platform, reached from every zone at the latency between zones.
	RolePlatform
	// RoleClient: a caller or an operator, never partitioned from the daemons.
	RoleClient
)

// Location is the location of a network address.
type Location struct {
	Role   Role
	Zone   model.AvailabilityZone
	Region model.Region
}

// Network emulates latencies and partitions on loopback connections. Connections to addresses that were not registered are
// unaffected.
type Network struct {
	mu          lockorder.Mutex
	locations   map[string]Location
	partitioned map[model.AvailabilityZone]bool
	// partitionedFromPlatform holds the zones that are partitioned from the platform only.
	partitionedFromPlatform map[model.AvailabilityZone]bool
	// changed is closed and replaced when a partition begins or ends.
	changed chan struct{}
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		mu:          lockorder.New(locks.OrderNetwork),
		locations:   map[string]Location{},
		partitioned: map[model.AvailabilityZone]bool{},
		changed:     make(chan struct{}),

		partitionedFromPlatform: map[model.AvailabilityZone]bool{},
	}
}

// Register sets the location of an address in the form host:port.
func (n *Network) Register(address string, l Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = l
}

// Partition partitions a zone from the other zones and from the platform.
func (n *Network) Partition(zone model.AvailabilityZone) { n.setPartition(n.partitioned, zone, true) }

// Heal ends the partition of a zone.
func (n *Network) Heal(zone model.AvailabilityZone) { n.setPartition(n.partitioned, zone, false) }

// SetPlatformPartition starts or ends a partition between a zone and the platform only.
func (n *Network) SetPlatformPartition(zone model.AvailabilityZone, partitioned bool) {
	n.setPartition(n.partitionedFromPlatform, zone, partitioned)
}

func (n *Network) setPartition(table map[model.AvailabilityZone]bool, zone model.AvailabilityZone, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table[zone] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) location(address string) (Location, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.locations[address]
	return l, ok
}

// pathState reports whether the path is partitioned, and returns a channel that is closed when any partition changes.
func (n *Network) pathState(from, to Location) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	partitioned := from.Role != RoleClient && to.Role != RoleClient &&
		(to.Role == RolePlatform || from.Zone != to.Zone) && (n.partitioned[from.Zone] || n.partitioned[to.Zone])
	partitioned = partitioned || (to.Role == RolePlatform && n.partitionedFromPlatform[from.Zone])
	return partitioned, n.changed
}

func latency(from, to Location) time.Duration {
	switch {
	case from.Role == RoleClient || to.Role == RoleClient:
		return latencyClient
	case to.Role == RolePlatform:
		return latencyZones
	case from.Zone == to.Zone:
		return 0
	case from.Region == to.Region:
		return latencyZones
	}
	return latencyRegions
}

// Dialer returns a function that opens connections from a location. A dial across a partition waits until the partition ends,
// for at most dialTimeout. An open connection is kept during a partition and delivers its data afterwards.
func (n *Network) Dialer(from Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, ok := n.location(address)
		if !ok {
			return dialer.DialContext(ctx, network, address)
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := n.awaitConnected(from, to, ctx.Done()); err != nil {
			return nil, err
		}
		if err := sleep(2*latency(from, to), ctx.Done()); err != nil {
			return nil, err
		}
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, n, from, to), nil
	}
}

// awaitConnected waits until the path is not partitioned. It returns ErrClosed if end is closed before.
func (n *Network) awaitConnected(from, to Location, end <-chan struct{}) error {
	for {
		partitioned, changed := n.pathState(from, to)
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-end:
			return ErrClosed
		}
	}
}

// sleep waits for a duration. It returns ErrClosed if end is closed before.
func sleep(d time.Duration, end <-chan struct{}) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-end:
		return ErrClosed
	}
}
