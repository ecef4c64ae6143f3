package dispatch

import (
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// shardsPerDaemon is the number of a query's shards in a zone that one daemon asks: more would wait for its processor.
	shardsPerDaemon = 8
	// shardsHere is the number of shards in its own zone up to which a daemon asks all of them itself.
	shardsHere = 15
)

// gatherPlan says which daemons send the attempts of one query: in each zone a few, which merge the replies. A nil plan has
// all attempts sent from here.
type gatherPlan struct {
	self  model.InstanceID
	zones map[model.AvailabilityZone]*zonePlan
}

// zonePlan lists the daemons of a zone that take part; their turns go round.
type zonePlan struct {
	members []model.Member
	turn    int
}

// planGathering makes the plan for attempts of one query that are to be gathered, or returns nil if there are none.
func (d *Dispatcher) planGathering(qs []*QueryAttempt) *gatherPlan {
	f := d.forwarding
	if f == nil {
		return nil
	}
	shards := map[model.AvailabilityZone]int{}
	key := ""
	for _, q := range qs {
		if q.Gather {
			shards[q.Server.Spec().Zone]++
			key = string(q.Request.ID.Request)
		}
	}
	if len(shards) == 0 {
		return nil
	}
	plan := &gatherPlan{self: f.self.Instance, zones: map[model.AvailabilityZone]*zonePlan{}}
	view := f.owners.View()
	for zone, n := range shards {
		if zone == d.cfg.Zone && n <= shardsHere {
			continue
		}
		members := view.Zones[zone]
		z := &zonePlan{}
		for _, i := range ownership.Gatherers(key, members, (n+shardsPerDaemon-1)/shardsPerDaemon) {
			z.members = append(z.members, members[i])
		}
		plan.zones[zone] = z
	}
	return plan
}

// next returns the daemon whose turn it is to send an attempt, or false if it is this one.
func (p *gatherPlan) next(q *QueryAttempt) (model.Member, bool) {
	if p == nil || !q.Gather {
		return model.Member{}, false
	}
	z := p.zones[q.Server.Spec().Zone]
	if z == nil || len(z.members) == 0 {
		return model.Member{}, false
	}
	m := z.members[z.turn%len(z.members)]
	z.turn++
	return m, m.Instance != p.self
}
