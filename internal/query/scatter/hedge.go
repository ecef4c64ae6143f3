package scatter

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/tables"
)

// scheduleHedge sets the hedge timer to the earliest hedge time of the shards with pending attempts.
func (c *call) scheduleHedge() {
	timer := c.searcher.Dispatcher.Timer
	if c.hedgeTimer != nil {
		timer.Cancel(c.hedgeTimer)
		c.hedgeTimer = nil
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
		c.hedgeTimer = timer.Schedule(next, c.onHedgeTimer)
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
		if sh.hedgeAt = c.variant.postponeHedges(now); !sh.hedgeAt.IsZero() {
			continue
		}
		if len(sh.pending) == 1 && !sh.hasReply(sh.wantVersion) && c.variant.mayHedge(sh) {
			q := sh.pending[0]
			q.Server.ObserveOverdue(now.Sub(q.Started), now)
			c.hedgeShard(i, now)
		}
	}
	c.startPrepared(now)
	c.scheduleHedge()
}

// hedgeShard prepares a second attempt at a replica that has free capacity now, so that hedges add no load under overload.
func (c *call) hedgeShard(i int, now time.Time) {
	sh := &c.shards[i]
	c.loadCandidates(sh, now)
	target := idleCandidate(c.candidates, c.records)
	if target == nil || !c.searcher.Dispatcher.Permits(c.policy) {
		return
	}
	charge := c.variant.spendHedge(sh, now)
	if !charge.allowed() {
		c.budgetRefused++
		return
	}
	if c.prepareAttempt(i, target, false, charge, now) {
		c.variant.onHedged(now)
		c.searcher.Dispatcher.Metrics().Hedge(c.variant.service(sh))
	}
	sh.hedgeAt = time.Time{}
}

// idleCandidate returns the replica of the lowest cost among the usable ones with free capacity, or nil if there is none.
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
