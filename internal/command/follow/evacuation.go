package follow

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// logEvacuations logs the zones whose evacuation began or ended.
func (f *Follower) logEvacuations(log *zerolog.Logger, changes []registry.Evacuation) {
	for _, e := range changes {
		switch {
		case !definesZone(f.deps.Zones, e.Zone):
			log.Warn().Str("zone", string(e.Zone)).Bool("active", e.Active).Msg("zone_evacuation_ignored")
		case e.Active:
			log.Warn().Str("zone", string(e.Zone)).Msg("zone_evacuated")
		default:
			log.Info().Str("zone", string(e.Zone)).Msg("zone_evacuation_ended")
		}
	}
}

// evacuatedZones returns those of the evacuated zones that the settings define. The key of another zone is a mistake of the operator,
// and must not remove servers that registered with that zone.
func evacuatedZones(defined []model.ZoneSpec, evacuated map[model.AvailabilityZone]bool) map[model.AvailabilityZone]bool {
	zones := maps.Clone(evacuated)
	maps.DeleteFunc(zones, func(zone model.AvailabilityZone, _ bool) bool { return !definesZone(defined, zone) })
	return zones
}

func definesZone(defined []model.ZoneSpec, zone model.AvailabilityZone) bool {
	return slices.ContainsFunc(defined, func(z model.ZoneSpec) bool { return z.Name == zone })
}
