package dispatch

import (
	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	// shardsPerGatherer is the number of a query's shards in a zone that one daemon sends to. With more shards, attempts
	// would wait for that daemon's CPU.
	shardsPerGatherer = 8
	// maxLocalShards is the largest number of shards in its own zone that a daemon sends to without other daemons.
	maxLocalShards = 15
)

// gatherPlan assigns the attempts of one query to a few daemons in each zone, which send them and merge the replies. With a
// nil plan, this daemon sends all attempts itself.
type gatherPlan struct {
	self  model.InstanceID
	zones map[model.AvailabilityZone]*zonePlan
}

// zonePlan lists the daemons of a zone that send attempts of the query. They are used round robin.
type zonePlan struct {
	gatherers []model.Member
	next      int
}

// planGathering returns the plan for the attempts of one query, or nil if none of them has Gather set or forwarding is off.
func (d *Dispatcher) planGathering(qs []*QueryAttempt) *gatherPlan {
	f := d.forwarding
	if f == nil {
		return nil
	}
	shards := map[model.AvailabilityZone]int{}
	key := ""
	var policy *model.RequestPolicy
	for _, q := range qs {
		if q.Gather {
			shards[q.Server.Spec().Zone]++
			key, policy = string(q.Request.ID.Request), q.Policy
		}
	}
	if len(shards) == 0 {
		return nil
	}
	plan := &gatherPlan{self: f.self.Instance, zones: map[model.AvailabilityZone]*zonePlan{}}
	view := f.owners.View()
	for zone, n := range shards {
		if zone == d.cfg.Zone && n <= maxLocalShards {
			continue
		}
		members := d.eligible(view.Preferred[zone], zone, policy)
		z := &zonePlan{}
		for _, i := range ownership.HighestRanked(key, members, (n+shardsPerGatherer-1)/shardsPerGatherer) {
			z.gatherers = append(z.gatherers, members[i])
		}
		plan.zones[zone] = z
	}
	return plan
}

// nextGatherer returns the daemon that sends the attempt, or false if this daemon sends it itself.
func (p *gatherPlan) nextGatherer(q *QueryAttempt) (model.Member, bool) {
	if p == nil || !q.Gather {
		return model.Member{}, false
	}
	z := p.zones[q.Server.Spec().Zone]
	if z == nil || len(z.gatherers) == 0 {
		return model.Member{}, false
	}
	m := z.gatherers[z.next%len(z.gatherers)]
	z.next++
	return m, m.Instance != p.self
}
