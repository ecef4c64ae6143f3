package model

import (
	"slices"
	"time"
)

// Topology is the indexed form of one revision of the inventory and the rules. It is immutable once built. A request uses
// the Topology that it started with until its end, so that an answer never mixes two shard maps.
type Topology struct {
	Revision  Revision
	Inventory Inventory
	Rules     Rules
	// Routing is the routing configuration from which the inventory was built, or nil if operators write the inventory.
	Routing *Routing

	services    map[ServiceName]*Service
	regions     map[AvailabilityZone]Region
	serverCount int
	callers     map[CallerName]Rank
	ranks       [RankCount]RankPolicy
}

// Service is a service with its shards in inventory order.
type Service struct {
	Name   ServiceName
	Epoch  ShardMapEpoch
	Shards []*Shard

	spec        *ServiceSpec
	serverCount int
}

// Shard is one shard with the servers that hold its replicas.
type Shard struct {
	Name    ShardName
	Index   int
	KeyFrom int
	KeyTo   int
	Servers []*Server
}

// Fraction returns the share of the key space that the shard holds, in [0, 1].
func (s *Shard) Fraction() float64 {
	return float64(s.KeyTo-s.KeyFrom) / KeySpace
}

// Server is a backend server with its region resolved. Its spec points into the inventory, which is never changed.
type Server struct {
	*ServerSpec
	Service ServiceName
	Shard   ShardName
	Region  Region
}

// RankPolicy is the typed form of a RankRule.
type RankPolicy struct {
	MinShare float64
	Target   time.Duration
	MaxQueue time.Duration
}

// NewTopology returns the Topology of a validated inventory and rules.
func NewTopology(rev Revision, inv Inventory, rules Rules) *Topology {
	return NewTopologyWithBase(nil, rev, inv, rules)
}

// NewTopologyWithBase is like NewTopology but reuses the services of base that share their shards with inv: the result has
// the same *Service as base for these and a new one for every other service. base may be nil.
func NewTopologyWithBase(base *Topology, rev Revision, inv Inventory, rules Rules) *Topology {
	t := &Topology{
		Revision:  rev,
		Inventory: inv,
		Rules:     rules,
		services:  make(map[ServiceName]*Service, len(inv.Services)),
		callers:   make(map[CallerName]Rank, len(rules.Callers)),
	}
	regions := make(map[AvailabilityZone]Region, len(inv.Zones))
	for _, z := range inv.Zones {
		regions[z.Name] = z.Region
	}
	t.regions = regions
	if base != nil && !slices.Equal(base.Inventory.Zones, inv.Zones) {
		// Every Server holds the region of its zone, so no service can be reused if the zones differ.
		base = nil
	}
	for i := range inv.Services {
		svc := base.unchangedService(&inv.Services[i])
		if svc == nil {
			svc = newService(&inv.Services[i], regions)
		}
		t.services[svc.Name] = svc
		t.serverCount += svc.serverCount
	}
	t.addRules(rules)
	return t
}

// unchangedService returns the service of t whose shards spec shares, or nil. t may be nil.
func (t *Topology) unchangedService(spec *ServiceSpec) *Service {
	if t == nil {
		return nil
	}
	svc := t.services[spec.Name]
	if svc == nil || !svc.spec.SharesShards(spec) {
		return nil
	}
	return svc
}

func newService(spec *ServiceSpec, regions map[AvailabilityZone]Region) *Service {
	specCopy := *spec
	svc := &Service{Name: spec.Name, Epoch: spec.ShardMapEpoch, spec: &specCopy, Shards: make([]*Shard, 0, len(spec.Shards))}
	for i := range spec.Shards {
		sh := &spec.Shards[i]
		shard := &Shard{Name: sh.Name, Index: i, KeyFrom: sh.KeyFrom, KeyTo: sh.KeyTo}
		// All servers of a shard share one allocation, since they live as long as the Service.
		servers := make([]Server, len(sh.Servers))
		shard.Servers = make([]*Server, len(servers))
		for i := range servers {
			srv := &sh.Servers[i]
			servers[i] = Server{ServerSpec: srv, Service: spec.Name, Shard: sh.Name, Region: regions[srv.Zone]}
			shard.Servers[i] = &servers[i]
		}
		svc.serverCount += len(shard.Servers)
		svc.Shards = append(svc.Shards, shard)
	}
	return svc
}

func (t *Topology) addRules(rules Rules) {
	for _, r := range rules.Ranks {
		rank, ok := ParseRank(r.Rank)
		if !ok {
			continue
		}
		t.ranks[rank] = RankPolicy{
			MinShare: r.MinShare,
			Target:   time.Duration(r.TargetMs) * time.Millisecond,
			MaxQueue: time.Duration(r.MaxQueueMs) * time.Millisecond,
		}
	}
	for _, c := range rules.Callers {
		if rank, ok := ParseRank(c.Rank); ok {
			t.callers[c.Caller] = rank
		}
	}
}

// Service returns the named service, or nil if there is none.
func (t *Topology) Service(name ServiceName) *Service { return t.services[name] }

// Region returns the region of a zone, or "" if the inventory does not define the zone.
func (t *Topology) Region(zone AvailabilityZone) Region { return t.regions[zone] }

// ServerCount returns the number of servers of all services.
func (t *Topology) ServerCount() int { return t.serverCount }

// EachService calls f for every service, in no particular order.
func (t *Topology) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// EachServer calls f for every server of the service, in inventory order.
func (s *Service) EachServer(f func(*Server)) {
	for _, sh := range s.Shards {
		for _, server := range sh.Servers {
			f(server)
		}
	}
}

// RankOf returns the rank that the rules assign to a caller. Callers without a rule get the rank of AnyCaller, or the least
// urgent rank if there is no rule for AnyCaller either.
func (t *Topology) RankOf(caller CallerName) Rank {
	if r, ok := t.callers[caller]; ok {
		return r
	}
	if r, ok := t.callers[AnyCaller]; ok {
		return r
	}
	return RankDeferred
}

// RankPolicy returns the policy of a rank.
func (t *Topology) RankPolicy(r Rank) RankPolicy { return t.ranks[r] }

// ShardOf returns the shard of a service that holds the given key hash in [0, KeySpace), or nil if none does.
func (s *Service) ShardOf(keyHash int) *Shard {
	for _, sh := range s.Shards {
		if keyHash >= sh.KeyFrom && keyHash < sh.KeyTo {
			return sh
		}
	}
	return nil
}
