package follow

import (
	"maps"
	"slices"

	"oleandersill.example/oleandersill/internal/model"
)

// regionUse states which parts of the routing configuration name a region as a home region.
type regionUse struct {
	routes     int
	workspaces int
}

// logUnknownRegions logs the home regions in which no zone of the settings lies. Requests cannot be served there.
func (f *Follower) logUnknownRegions(r *model.Routing) {
	unknown := unknownRegions(r, f.deps.Zones)
	for _, region := range slices.Sorted(maps.Keys(unknown)) {
		use := unknown[region]
		f.deps.Log.Warn().Uint64("version", uint64(r.Version)).Str("region", string(region)).Int("routes", use.routes).
			Int("workspaces", use.workspaces).Msg("home_region_unknown")
	}
}

// unknownRegions returns the home regions in which none of the zones lies, with the number of routes and workspaces that name them.
func unknownRegions(r *model.Routing, zones []model.ZoneSpec) map[model.Region]regionUse {
	known := map[model.Region]bool{}
	for _, z := range zones {
		known[z.Region] = z.Region != ""
	}
	unknown := map[model.Region]regionUse{}
	for i := range r.Routes {
		for _, region := range unknownOf(r.Routes[i].Regions, known) {
			use := unknown[region]
			use.routes++
			unknown[region] = use
		}
	}
	for i := range r.Workspaces {
		for _, region := range unknownOf(r.Workspaces[i].Regions, known) {
			use := unknown[region]
			use.workspaces++
			unknown[region] = use
		}
	}
	return unknown
}

func unknownOf(regions model.Regions, known map[model.Region]bool) model.Regions {
	var unknown model.Regions
	for _, region := range regions {
		if !known[region] && !slices.Contains(unknown, region) {
			unknown = append(unknown, region)
		}
	}
	return unknown
}
