package document

import (
	"net/netip"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// ValidateIncremental is Validate for a configuration that shares unchanged services with base, an inventory that was found
// valid; base may be nil. It checks the services that are not the same as in base, and that no server of an unchanged
// service has a name or an address in common with theirs. Two unchanged services cannot have any in common, since
// base was valid. It finds a problem if and only if Validate does, and reports those of Validate.
func ValidateIncremental(base *model.Inventory, inv model.Inventory, rules model.Rules) validation.Problems {
	if base == nil || !slices.Equal(base.Zones, inv.Zones) || !validOn(base, inv) {
		return Validate(inv, rules)
	}
	if len(ValidateRules(rules)) > 0 {
		return Validate(inv, rules)
	}
	return nil
}

func validOn(base *model.Inventory, inv model.Inventory) bool {
	changed, unchanged := divide(base, inv)
	c := newInventoryCheck()
	c.checkLimits(inv)
	c.checkZones(inv.Zones)
	c.notEmpty(nil, "services", len(inv.Services))
	c.checkServices(changed)
	return len(c.problems) == 0 && distinctNames(inv.Services) && !c.meets(unchanged)
}

// divide returns the services of an inventory that differ from base, and those that are the same.
func divide(base *model.Inventory, inv model.Inventory) (changed, unchanged []model.ServiceSpec) {
	held := make(map[model.ServiceName]*model.ServiceSpec, len(base.Services))
	for i := range base.Services {
		held[base.Services[i].Name] = &base.Services[i]
	}
	for i := range inv.Services {
		svc := &inv.Services[i]
		if before := held[svc.Name]; before != nil && before.SharesShards(svc) {
			unchanged = append(unchanged, *svc)
			continue
		}
		changed = append(changed, *svc)
	}
	return changed, unchanged
}

func distinctNames(services []model.ServiceSpec) bool {
	seen := make(map[model.ServiceName]bool, len(services))
	for i := range services {
		seen[services[i].Name] = true
	}
	return len(seen) == len(services)
}

// meets tells whether a server of the given services has a name or an address of those checked.
func (c *inventoryCheck) meets(services []model.ServiceSpec) bool {
	if len(c.servers) == 0 {
		return false
	}
	return slices.ContainsFunc(services, func(svc model.ServiceSpec) bool {
		return slices.ContainsFunc(svc.Shards, func(sh model.ShardSpec) bool {
			return slices.ContainsFunc(sh.Servers, c.meetsServer)
		})
	})
}

func (c *inventoryCheck) meetsServer(s model.ServerSpec) bool {
	if _, ok := c.servers[s.Name]; ok {
		return true
	}
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return true
	}
	_, ok := c.addresses[address]
	return ok
}
