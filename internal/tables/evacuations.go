package tables

import (
	"maps"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// applyEvacuations applies the evacuations of an update, and returns the zones whose evacuation began or ended, sorted by name. If
// the store was restored, an evacuation that it does not have stays: the operator writes it again, and the zone's servers must get no
// requests until then. The caller holds mu.
func (t *Registry) applyEvacuations(u *registry.Update, restored bool) []registry.Evacuation {
	if !u.Complete && len(u.Evacuations) == 0 {
		return nil
	}
	before := t.evacuated
	t.evacuated = map[model.AvailabilityZone]bool{}
	if !u.Complete || restored {
		maps.Copy(t.evacuated, before)
	}
	for _, e := range u.Evacuations {
		if e.Active {
			t.evacuated[e.Zone] = true
		} else {
			delete(t.evacuated, e.Zone)
		}
	}
	return evacuationChanges(before, t.evacuated)
}

// evacuationChanges returns the difference between two sets of evacuated zones, sorted by name.
func evacuationChanges(before, after map[model.AvailabilityZone]bool) []registry.Evacuation {
	both := map[model.AvailabilityZone]bool{}
	maps.Copy(both, before)
	maps.Copy(both, after)
	var changes []registry.Evacuation
	for _, zone := range slices.Sorted(maps.Keys(both)) {
		if before[zone] != after[zone] {
			changes = append(changes, registry.Evacuation{Zone: zone, Active: after[zone]})
		}
	}
	return changes
}

// evacuationEntries returns all evacuated zones as the entries of a complete update. The caller holds mu.
func (t *Registry) evacuationEntries() []registry.Evacuation {
	return evacuationChanges(nil, t.evacuated)
}
