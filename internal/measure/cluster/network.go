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

// One-way latencies, as section 1 of the design page gives them.
const (
	latencyZones   = 1 * time.Millisecond
	latencyRegions = 10 * time.Millisecond
	latencyClient  = 1 * time.Millisecond
	// dialTimeout bounds the opening of a connection over a cut path.
	dialTimeout = 2 * time.Second
)

// ErrClosed means that a connection was closed while data was under way.
var ErrClosed = errors.New("cluster: connection closed")

// Role says what stands at the end of a path.
type Role uint8

// The roles.
const (
	// RoleMember: a daemon or a backend server.
	RoleMember Role = iota
	// RolePlatform: the platform, reached from every zone at the latency between zones.
	RolePlatform
	// RoleClient: a caller or an operator, never cut off from the entry instances.
	RoleClient
)

// Location is where an address lies.
type Location struct {
	Role   Role
	Zone   model.AvailabilityZone
	Region model.Region
}

// Network adds latencies and partitions to loopback connections. Addresses that were not registered have no latency.
type Network struct {
	mu     lockorder.Mutex
	places map[string]Location
	cut    map[model.AvailabilityZone]bool
	// cutPlatform holds the zones that are apart from the platform only.
	cutPlatform map[model.AvailabilityZone]bool
	changed     chan struct{}
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		mu:      lockorder.New(locks.OrderNetwork),
		places:  map[string]Location{},
		cut:     map[model.AvailabilityZone]bool{},
		changed: make(chan struct{}),

		cutPlatform: map[model.AvailabilityZone]bool{},
	}
}

// Register places an address, host:port.
func (n *Network) Register(address string, p Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
}

// Partition parts a zone from the other zones and from the platform.
func (n *Network) Partition(zone model.AvailabilityZone) { n.set(n.cut, zone, true) }

// Heal ends the partition of a zone.
func (n *Network) Heal(zone model.AvailabilityZone) { n.set(n.cut, zone, false) }

// SetPlatformPartition parts a zone from the platform only, or ends that.
func (n *Network) SetPlatformPartition(zone model.AvailabilityZone, cut bool) {
	n.set(n.cutPlatform, zone, cut)
}

func (n *Network) set(table map[model.AvailabilityZone]bool, zone model.AvailabilityZone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	table[zone] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) place(address string) (Location, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.places[address]
	return p, ok
}

// state tells whether the path is cut, and returns the channel that is closed at the next change.
func (n *Network) state(from, to Location) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := from.Role != RoleClient && to.Role != RoleClient &&
		(to.Role == RolePlatform || from.Zone != to.Zone) && (n.cut[from.Zone] || n.cut[to.Zone])
	cut = cut || (to.Role == RolePlatform && n.cutPlatform[from.Zone])
	return cut, n.changed
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

// Dialer returns a function that opens connections as seen from a place.
func (n *Network) Dialer(from Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	plain := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, ok := n.place(address)
		if !ok {
			return plain.DialContext(ctx, network, address)
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := n.waitOpen(from, to, ctx.Done()); err != nil {
			return nil, err
		}
		if err := sleep(2*latency(from, to), ctx.Done()); err != nil {
			return nil, err
		}
		c, err := plain.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, n, from, to), nil
	}
}

func (n *Network) waitOpen(from, to Location, end <-chan struct{}) error {
	for {
		cut, changed := n.state(from, to)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-end:
			return ErrClosed
		}
	}
}

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
