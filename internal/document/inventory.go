package document

import (
	"net/netip"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Limits of an inventory.
const (
	MaxInstances        = 100_000
	MaxSlots            = 10_000
	MaxConnections      = 100_000
	MaxConnectionCostMs = 60_000
)

const addressAllowed = "IP address and port from 1 to 65535, as 10.0.0.1:7000 or [fd00::1]:7000"

// inventoryCheck collects the problems of an inventory.
type inventoryCheck struct {
	problems validation.Problems
	zones    map[model.AvailabilityZone]bool
	// servers and addresses hold the path of the server that was last checked with that name or address.
	servers   map[model.ServerName]*path
	addresses map[netip.AddrPort]*path
}

// ValidateInventory returns every problem of an inventory. The problems have no file and no line.
func ValidateInventory(inv model.Inventory) validation.Problems {
	c := newInventoryCheck()
	c.checkLimits(inv)
	c.checkZones(inv.Zones)
	c.checkNotEmpty(nil, "services", len(inv.Services))
	c.checkServices(inv.Services)
	return c.problems
}

func newInventoryCheck() *inventoryCheck {
	return &inventoryCheck{
		zones:     map[model.AvailabilityZone]bool{},
		servers:   map[model.ServerName]*path{},
		addresses: map[netip.AddrPort]*path{},
	}
}

func (c *inventoryCheck) checkLimits(inv model.Inventory) {
	checkRange(c, nil, "max_instances", inv.MaxInstances, 1, MaxInstances)
	checkRange(c, nil, "surge_instances", inv.SurgeInstances, 0, MaxInstances)
}

func (c *inventoryCheck) checkZones(zones []model.ZoneSpec) {
	c.checkNotEmpty(nil, "zones", len(zones))
	for i, z := range zones {
		at := &path{list: "zones", index: i}
		c.checkName(at, "name", string(z.Name))
		c.checkName(at, "region", string(z.Region))
		if c.zones[z.Name] {
			c.problems.Add(validation.KindDuplicate, at.field("name"), "", "zone %q is named twice", z.Name)
		}
		c.zones[z.Name] = true
	}
}

func (c *inventoryCheck) checkServices(services []model.ServiceSpec) {
	seen := map[model.ServiceName]bool{}
	for i, svc := range services {
		at := &path{list: "services", index: i}
		c.checkName(at, "name", string(svc.Name))
		if seen[svc.Name] {
			c.problems.Add(validation.KindDuplicate, at.field("name"), "", "service %q is named twice", svc.Name)
		}
		seen[svc.Name] = true
		if svc.ShardMapEpoch < 1 {
			c.problems.Add(validation.KindRange, at.field("shard_map_epoch"), "1 and above", "is %d", svc.ShardMapEpoch)
		}
		c.checkShards(at, svc.Shards)
	}
}

func (c *inventoryCheck) checkShards(service *path, shards []model.ShardSpec) {
	c.checkNotEmpty(service, "shards", len(shards))
	seen := make(map[model.ShardName]bool, len(shards))
	for i, sh := range shards {
		at := &path{parent: service, list: "shards", index: i}
		c.checkName(at, "name", string(sh.Name))
		if seen[sh.Name] {
			c.problems.Add(validation.KindDuplicate, at.field("name"), "", "shard %q is named twice in its service", sh.Name)
		}
		seen[sh.Name] = true
		checkRange(c, at, "key_from", sh.KeyFrom, 0, model.KeySpace-1)
		checkRange(c, at, "key_to", sh.KeyTo, sh.KeyFrom+1, model.KeySpace)
		c.checkServers(at, sh.Servers)
	}
	checkKeyRanges(&c.problems, service, shards)
}

func (c *inventoryCheck) checkServers(shard *path, servers []model.ServerSpec) {
	c.checkNotEmpty(shard, "servers", len(servers))
	for i := range servers {
		s := &servers[i]
		at := &path{parent: shard, list: "servers", index: i}
		c.checkName(at, "name", string(s.Name))
		if other, ok := c.servers[s.Name]; ok {
			c.problems.Add(validation.KindDuplicate, at.field("name"), "", "server %q is also at %s", s.Name, other)
		}
		c.servers[s.Name] = at
		c.checkAddress(at, s.Address)
		if !c.zones[s.Zone] {
			c.problems.Add(validation.KindReference, at.field("zone"), "a name of zones", "zone %q does not exist", s.Zone)
		}
		checkRange(c, at, "slots", s.Slots, 1, MaxSlots)
		checkRange(c, at, "connections", s.Connections, 1, MaxConnections)
		checkRange(c, at, "connection_cost_ms", s.ConnectionCostMs, 0, MaxConnectionCostMs)
	}
}

func (c *inventoryCheck) checkAddress(at *path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.problems.Add(validation.KindMalformed, at.field("address"), addressAllowed, "is %q", value)
		return
	}
	if other, ok := c.addresses[address]; ok {
		c.problems.Add(validation.KindDuplicate, at.field("address"), "", "address %s is also at %s", value, other)
	}
	c.addresses[address] = at
}

func (c *inventoryCheck) checkName(at *path, name, value string) {
	if !validation.IsName(value) {
		c.problems.Add(validation.KindMalformed, at.field(name), validation.NameAllowed, "is %q", value)
	}
}

func (c *inventoryCheck) checkNotEmpty(at *path, name string, n int) {
	if n == 0 {
		c.problems.Add(validation.KindMissing, at.field(name), "at least one", "is empty")
	}
}

// checkRange is validation.CheckRange, except that it builds the path of the field only for a problem.
func checkRange[N validation.Number](c *inventoryCheck, at *path, name string, value, low, high N) {
	if value >= low && value <= high {
		return
	}
	validation.CheckRange(&c.problems, at.field(name), value, low, high)
}
