package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/tables"
)

// scheduleHedge sets the timer for the earliest hedge that is due, replacing an earlier one.
func (c *call) scheduleHedge() {
	timer := c.searcher.Dispatcher.Timer
	if c.hedge != nil {
		timer.Cancel(c.hedge)
		c.hedge = nil
	}
	var next time.Time
	for i := range c.shards {
		at := c.shards[i].hedgeAt
		if at.IsZero() || len(c.shards[i].pending) == 0 {
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !next.IsZero() && next.Before(c.req.Deadline) {
		c.hedge = timer.Schedule(next, c.onHedgeTimer)
	}
}

func (c *call) onHedgeTimer() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.hedgeAt.IsZero() || sh.hedgeAt.After(now) {
			continue
		}
		if sh.hedgeAt = c.variant.postponed(now); !sh.hedgeAt.IsZero() {
			continue
		}
		if len(sh.pending) == 1 && !sh.answers(sh.want) && c.variant.mayHedge(sh) {
			q := sh.pending[0]
			q.Server.ObserveOverdue(now.Sub(q.Started), now)
			c.hedgeShard(i, now)
		}
	}
	c.startChosen(now)
	c.scheduleHedge()
}

// hedgeShard chooses a second attempt to a replica that has headroom now, so that hedges add nothing under overload.
func (c *call) hedgeShard(i int, now time.Time) {
	sh := &c.shards[i]
	c.loadCandidates(sh, now)
	target := idleCandidate(c.candidates, c.records)
	if target == nil {
		return
	}
	p := c.variant.spendHedge(sh, now)
	if !p.possible() {
		c.unpaid++
		return
	}
	if c.send(i, target, false, p, now) {
		c.searcher.Dispatcher.Metrics().Hedge(c.variant.service(sh))
	}
	sh.hedgeAt = time.Time{}
}

func idleCandidate(cs []routing.Candidate, records []*tables.Server) *tables.Server {
	best := -1
	for i := range cs {
		if !cs[i].Usable || cs[i].Pending >= cs[i].Limit {
			continue
		}
		if best < 0 || cs[i].Cost() < cs[best].Cost() {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return records[best]
}
