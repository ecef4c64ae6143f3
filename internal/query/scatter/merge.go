package scatter

import (
	"cmp"
	"slices"

	"oleandersill.example/oleandersill/internal/decision/snapshot"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

// finish ends the call and builds the answer from the replies of one version.
func (c *queryCall) finish() Answer {
	c.end()
	timer := c.searcher.Dispatcher.Timer
	timer.Cancel(c.deadlineTimer)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range []*pool.TimerEntry{c.hedgeTimer, c.probeTimer} {
		if e != nil {
			timer.Cancel(e)
		}
	}
	a := Answer{
		RequestID: c.id,
		Revision:  c.req.Topology.Revision,
		Epoch:     c.req.Service.Epoch,
	}
	version, ok := snapshot.ChooseAnswered(c.versionStates())
	if ok {
		a.Version = version
	}
	lists := c.collect(version, ok, &a.Coverage)
	a.Items = merge(lists, c.req.Limit)
	a.Outcome = outcomeOf(a.Coverage)
	return a
}

// collect returns the item lists of the replies of one version, and fills in the coverage.
func (c *queryCall) collect(version model.IndexVersion, found bool, cov *model.Coverage) [][]model.Item {
	var lists [][]model.Item
	cov.ShardsAsked = len(c.shards)
	cov.Missing = []model.ShardName{}
	for i := range c.shards {
		sh := &c.shards[i]
		j := slices.IndexFunc(sh.replies, func(r shardReply) bool { return found && r.version == version })
		if j < 0 {
			cov.Missing = append(cov.Missing, sh.shard.Name)
			continue
		}
		cov.ShardsAnswered++
		cov.Fraction += sh.shard.Fraction()
		lists = append(lists, sh.replies[j].items)
	}
	cov.Complete = cov.ShardsAnswered == cov.ShardsAsked
	return lists
}

func outcomeOf(c model.Coverage) model.Outcome {
	switch {
	case c.Complete:
		return model.OutcomeComplete
	case c.ShardsAnswered > 0:
		return model.OutcomePartial
	}
	return model.OutcomeFailed
}

// merge returns at most limit items of all lists, ordered by descending score and then by key.
func merge(lists [][]model.Item, limit int) []model.Item {
	out := []model.Item{}
	for _, l := range lists {
		out = append(out, l...)
	}
	slices.SortFunc(out, func(a, b model.Item) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
	if len(out) > limit {
		out = out[:limit]
	}
	return out
}
