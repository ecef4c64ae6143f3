package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

const (
	exchangeInterval = time.Second
	// unconfiguredInterval is the interval while the daemon has no configuration.
	unconfiguredInterval = 200 * time.Millisecond
	// configMissingDelay is the time after the start at which a daemon without a configuration logs a warning.
	configMissingDelay = 3 * time.Second
	// One in seedOneIn exchanges goes to an address from the settings, which may be the only way to reach daemons that neither
	// the platform nor a peer reports.
	seedOneIn = 16
)

// runExchanges exchanges digests until ctx ends.
func (a *Agent) runExchanges(ctx context.Context) {
	rnd := a.random()
	lastTick := time.Time{}
	reported := false
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(lastTick) >= exchangeInterval/2 {
			lastTick = now
			a.tick(now)
		}
		if a.Config.Revision() == 0 && !reported && now.Sub(a.started) > configMissingDelay {
			reported = true
			a.Log.Warn().Int("peers_known", len(a.Members.Snapshot(nil))).Msg("config_missing")
		}
		a.exchange(ctx, rnd)
		interval := exchangeInterval
		if a.Config.Revision() == 0 {
			interval = unconfiguredInterval
		}
		if !pool.Sleep(ctx, gossip.Jittered(interval, rnd)-min(interval/4, time.Since(now))) {
			return
		}
	}
}

// tick updates the members and the owners and removes expired marks of leaving servers.
func (a *Agent) tick(now time.Time) {
	a.Members.IncrementHeartbeat()
	a.Members.Prune(now)
	a.refreshOwners(now)
	for _, name := range a.Departures.Expire(now) {
		if r := a.Servers.Get(name); r != nil {
			r.ClearLeaving(now)
			a.Log.Info().Str("server", string(name)).Msg("leaving_mark_ended")
		}
	}
}

// refreshOwners updates the table of owners from the members.
func (a *Agent) refreshOwners(now time.Time) {
	if joined := a.Owners.SetMembers(a.ownerCandidates(now), now); len(joined) > 0 && a.OwnersJoined != nil {
		a.OwnersJoined(joined)
	}
}

// ownerCandidates returns the daemons that are not considered dead, including this one, by zone and sorted by instance.
// Suspected ones are included: in a zone of hundreds, evidence of a live member may take longer to arrive than the suspicion
// timeout, and differing views cost connections. An owner that has stopped is detected by the first batch
// that it does not accept.
func (a *Agent) ownerCandidates(now time.Time) map[model.AvailabilityZone][]model.Member {
	self := a.Members.Self()
	zones := map[model.AvailabilityZone][]model.Member{self.Zone: {self}}
	for _, k := range a.Members.Snapshot(nil) {
		if k.Liveness(now) != gossip.Dead && k.Address != "" {
			zones[k.Zone] = append(zones[k.Zone], k.Member)
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, func(x, y model.Member) int { return cmp.Compare(x.Instance, y.Instance) })
	}
	return zones
}

func (a *Agent) exchange(ctx context.Context, rnd *rand.Rand) {
	now := time.Now()
	address := a.exchangeAddress(now, rnd)
	if address == "" {
		return
	}
	reply, err := a.Peers.Digest(ctx, address, a.digests.Build(now, rnd))
	if err != nil {
		a.Log.Debug().Err(err).Str("address", address).Msg("peer_exchange_failed")
		return
	}
	a.ObserveDigest(reply)
}

// exchangeAddress returns the address of the peer for the next exchange, or "" if there is none.
func (a *Agent) exchangeAddress(now time.Time, rnd *rand.Rand) string {
	m, ok := gossip.ExchangePeer(a.Members.Self(), a.Members.Snapshot(nil), now, rnd)
	if len(a.Seeds) > 0 && (!ok || a.Config.Revision() == 0 && rnd.IntN(2) == 0 || rnd.IntN(seedOneIn) == 0) {
		return a.Seeds[rnd.IntN(len(a.Seeds))]
	}
	return m.Address
}
