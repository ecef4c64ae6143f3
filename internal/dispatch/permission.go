package dispatch

import (
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// Permits reports whether the newest configuration in force still allows requests with the policy. A nil policy is that of a
// request without a route, which needs no key.
func (d *Dispatcher) Permits(p *model.RequestPolicy) bool {
	if p == nil || p.Workspace == "" {
		return true
	}
	t := d.Config.Current()
	return t != nil && t.Routing != nil && t.Routing.Permits(p)
}

// permitsAt reports whether a request with the policy may be sent to the server now. The server may have moved to another region
// since it was chosen.
func (d *Dispatcher) permitsAt(p *model.RequestPolicy, s *tables.Server) bool {
	return p == nil || (p.Regions.Contains(s.Spec().Region) && d.Permits(p))
}

// regionOf returns the region of a zone, or "" if it is not known.
func (d *Dispatcher) regionOf(zone model.AvailabilityZone) model.Region {
	if zone == d.cfg.Zone {
		return d.cfg.Region
	}
	if t := d.Config.Current(); t != nil {
		return t.Region(zone)
	}
	return ""
}

// eligible returns those of a zone's members that may receive a request with the policy from this daemon.
func (d *Dispatcher) eligible(members []model.Member, zone model.AvailabilityZone, p *model.RequestPolicy) []model.Member {
	return ownership.RequirementsOf(p).Eligible(members, d.regionOf(zone))
}

// inboundPolicy returns the policy of a sub-request of another daemon, or nil if it needs no key. It has no regions, since the other
// daemon chose the server, and this daemon, in the home regions.
func inboundPolicy(q *forwarding.Query) *model.RequestPolicy {
	if q.Workspace == "" {
		return nil
	}
	return &model.RequestPolicy{Workspace: q.Workspace, Rank: q.Rank}
}
