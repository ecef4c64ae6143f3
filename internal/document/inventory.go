package document

import (
	"fmt"
	"net/netip"
	"regexp"

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

// Names appear in URL paths, part names and metric labels, so they hold no separators and no spaces.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

const (
	nameAllowed    = "1 to 128 letters, digits, '.', '_' and '-', starting with a letter or digit"
	addressAllowed = "IP address and port from 1 to 65535, as 10.0.0.1:7000 or [fd00::1]:7000"
)

type inventoryCheck struct {
	problems  validation.Problems
	zones     map[model.AvailabilityZone]bool
	servers   map[model.ServerName]string
	addresses map[netip.AddrPort]string
}

// ValidateInventory returns every problem of an inventory.
func ValidateInventory(inv model.Inventory) validation.Problems {
	c := inventoryCheck{
		zones:     map[model.AvailabilityZone]bool{},
		servers:   map[model.ServerName]string{},
		addresses: map[netip.AddrPort]string{},
	}
	validation.InRange(&c.problems, "max_instances", inv.MaxInstances, 1, MaxInstances)
	validation.InRange(&c.problems, "surge_instances", inv.SurgeInstances, 0, MaxInstances)
	c.checkZones(inv.Zones)
	c.checkServices(inv.Services)
	return c.problems
}

func (c *inventoryCheck) checkZones(zones []model.ZoneSpec) {
	c.notEmpty("zones", len(zones))
	for i, z := range zones {
		at := fmt.Sprintf("zones[%d]", i)
		c.name(at+".name", string(z.Name))
		c.name(at+".region", string(z.Region))
		if c.zones[z.Name] {
			c.problems.Add(validation.KindDuplicate, at+".name", "", "zone %q is named twice", z.Name)
		}
		c.zones[z.Name] = true
	}
}

func (c *inventoryCheck) checkServices(services []model.ServiceSpec) {
	c.notEmpty("services", len(services))
	seen := map[model.ServiceName]bool{}
	for i, svc := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", string(svc.Name))
		if seen[svc.Name] {
			c.problems.Add(validation.KindDuplicate, at+".name", "", "service %q is named twice", svc.Name)
		}
		seen[svc.Name] = true
		if svc.ShardMapEpoch < 1 {
			c.problems.Add(validation.KindRange, at+".shard_map_epoch", "1 and above", "is %d", svc.ShardMapEpoch)
		}
		c.checkShards(at+".shards", svc.Shards)
	}
}

func (c *inventoryCheck) checkShards(at string, shards []model.ShardSpec) {
	c.notEmpty(at, len(shards))
	seen := map[model.ShardName]bool{}
	for i, sh := range shards {
		field := fmt.Sprintf("%s[%d]", at, i)
		c.name(field+".name", string(sh.Name))
		if seen[sh.Name] {
			c.problems.Add(validation.KindDuplicate, field+".name", "", "shard %q is named twice in its service", sh.Name)
		}
		seen[sh.Name] = true
		validation.InRange(&c.problems, field+".key_from", sh.KeyFrom, 0, model.KeySpace-1)
		validation.InRange(&c.problems, field+".key_to", sh.KeyTo, sh.KeyFrom+1, model.KeySpace)
		c.checkServers(field+".servers", sh.Servers)
	}
	checkKeyRanges(&c.problems, at, shards)
}

func (c *inventoryCheck) checkServers(at string, servers []model.ServerSpec) {
	c.notEmpty(at, len(servers))
	for i, s := range servers {
		field := fmt.Sprintf("%s[%d]", at, i)
		c.name(field+".name", string(s.Name))
		if other, ok := c.servers[s.Name]; ok {
			c.problems.Add(validation.KindDuplicate, field+".name", "", "server %q is also at %s", s.Name, other)
		}
		c.servers[s.Name] = field
		c.checkAddress(field+".address", s.Address)
		if !c.zones[s.Zone] {
			c.problems.Add(validation.KindReference, field+".zone", "a name of zones", "zone %q does not exist", s.Zone)
		}
		validation.InRange(&c.problems, field+".slots", s.Slots, 1, MaxSlots)
		validation.InRange(&c.problems, field+".connections", s.Connections, 1, MaxConnections)
		validation.InRange(&c.problems, field+".connection_cost_ms", s.ConnectionCostMs, 0, MaxConnectionCostMs)
	}
}

func (c *inventoryCheck) checkAddress(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.problems.Add(validation.KindMalformed, field, addressAllowed, "is %q", value)
		return
	}
	if other, ok := c.addresses[address]; ok {
		c.problems.Add(validation.KindDuplicate, field, "", "address %s is also at %s", value, other)
	}
	c.addresses[address] = field
}

func (c *inventoryCheck) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.problems.Add(validation.KindMalformed, field, nameAllowed, "is %q", value)
	}
}

func (c *inventoryCheck) notEmpty(field string, n int) {
	if n == 0 {
		c.problems.Add(validation.KindMissing, field, "at least one", "is empty")
	}
}
