package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/pushback"
	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/model"
)

// PushbackUntil returns how long it takes until required of the shards take requests, if they do not now because servers asked
// for no requests. Only servers in the given regions count. It returns false if enough shards take requests, or if too few
// would even after all servers that asked for no requests take them again.
func (d *Dispatcher) PushbackUntil(
	shards []*model.Shard, regions model.Regions, required int, now time.Time,
) (time.Duration, bool) {
	var rests []time.Duration
	available := 0
	for _, sh := range shards {
		rest, usable := d.shardPushback(sh, regions, now)
		switch {
		case usable:
			available++
		case rest > 0:
			rests = append(rests, rest)
		}
	}
	return pushback.UntilAvailable(rests, required-available)
}

// shardPushback reports whether a server of the shard takes requests. If none does, rest is the time until the first of those
// that asked for no requests takes some again, or 0 if there is none.
func (d *Dispatcher) shardPushback(sh *model.Shard, regions model.Regions, now time.Time) (rest time.Duration, usable bool) {
	for _, r := range d.serversAtHome(nil, sh, regions) {
		var c routing.Candidate
		r.FillCandidate(&c, now)
		if c.Usable {
			return 0, true
		}
		if !c.Leaving && c.Pushback > 0 && (rest == 0 || c.Pushback < rest) {
			rest = c.Pushback
		}
	}
	return rest, false
}
