package document

import (
	"net/netip"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// ValidateIncremental returns what Validate returns. It is faster for a valid configuration that shares services with base, an
// inventory that was found valid; base may be nil. A service is unchanged if model.ServiceSpec.SharesShards reports true for it
// and its counterpart in base. Of the services, it checks only the changed ones, and that no server of an unchanged service has
// the name or the address of a server of a changed one. Two unchanged services cannot have such a conflict, since base is valid.
// If it finds any problem, or if the zones differ from base, it calls Validate.
func ValidateIncremental(base *model.Inventory, inv model.Inventory, rules model.Rules) validation.Problems {
	if base == nil || !slices.Equal(base.Zones, inv.Zones) || !validIncremental(base, inv) {
		return Validate(inv, rules)
	}
	if len(ValidateRules(rules)) > 0 {
		return Validate(inv, rules)
	}
	return nil
}

func validIncremental(base *model.Inventory, inv model.Inventory) bool {
	changed, unchanged := splitUnchanged(base, inv)
	c := newInventoryCheck()
	c.checkLimits(inv)
	c.checkZones(inv.Zones)
	c.checkNotEmpty(nil, "services", len(inv.Services))
	c.checkServices(changed)
	return len(c.problems) == 0 && distinctNames(inv.Services) && !c.conflictsWith(unchanged)
}

// splitUnchanged returns the services of an inventory that do not share their shards with base, and those that do.
func splitUnchanged(base *model.Inventory, inv model.Inventory) (changed, unchanged []model.ServiceSpec) {
	baseServices := make(map[model.ServiceName]*model.ServiceSpec, len(base.Services))
	for i := range base.Services {
		baseServices[base.Services[i].Name] = &base.Services[i]
	}
	for i := range inv.Services {
		svc := &inv.Services[i]
		if before := baseServices[svc.Name]; before != nil && before.SharesShards(svc) {
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

// conflictsWith reports whether a server of the given services has the name or the address of a server that was checked.
// It also reports true for an address that cannot be parsed.
func (c *inventoryCheck) conflictsWith(services []model.ServiceSpec) bool {
	if len(c.servers) == 0 {
		return false
	}
	return slices.ContainsFunc(services, func(svc model.ServiceSpec) bool {
		return slices.ContainsFunc(svc.Shards, func(sh model.ShardSpec) bool {
			return slices.ContainsFunc(sh.Servers, c.conflictsWithServer)
		})
	})
}

func (c *inventoryCheck) conflictsWithServer(s model.ServerSpec) bool {
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
