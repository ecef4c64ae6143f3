package fleet

import (
	"context"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
)

const (
	leavingInterval = time.Second
	// listValidity is how long the last list that was read remains in use while the platform is unreachable.
	listValidity = 5 * time.Minute
	// failuresBeforeRewatch is the number of consecutive failed reads after which the next successful read cancels a waiting
	// watch, whose connection may have been lost unnoticed.
	failuresBeforeRewatch = 2
)

// runLeavingList reads the platform's list of leaving servers each second while this daemon is a relay, until ctx ends.
func (a *Agent) runLeavingList(ctx context.Context) {
	ticker := time.NewTicker(leavingInterval)
	defer ticker.Stop()
	list := &leavingList{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if now := time.Now(); a.isRelay(now) {
			a.readLeaving(ctx, list)
		}
	}
}

// leavingList is the last list that was read, with the number of failed reads since.
type leavingList struct {
	names    []model.ServerName
	readAt   time.Time
	failures int
}

func (a *Agent) readLeaving(ctx context.Context, list *leavingList) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := a.Instances.Instances(callCtx, platform.InstanceQuery{
		Role: platform.RoleServer, State: platform.InstanceLeaving,
	})
	now := time.Now()
	if err != nil {
		list.failures++
		if now.Sub(list.readAt) < listValidity {
			a.recordLeaving(list.names, now)
		}
		return
	}
	if cancel := a.cancelWatch.Load(); list.failures >= failuresBeforeRewatch && cancel != nil {
		(*cancel)()
	}
	*list = leavingList{readAt: now}
	for _, inst := range instances {
		list.names = append(list.names, model.ServerName(inst.Name))
	}
	a.recordLeaving(list.names, now)
}

// ObserveDraining records that a server reported to this daemon that it is draining.
func (a *Agent) ObserveDraining(name model.ServerName) {
	a.recordLeaving([]model.ServerName{name}, time.Now())
}

// recordLeaving records servers that this daemon itself found to be leaving, and notifies peers of those that were not known
// to be leaving.
func (a *Agent) recordLeaving(names []model.ServerName, now time.Time) {
	var newlyLeaving []model.ServerName
	for _, name := range names {
		if a.Departures.Mark(name, now) {
			newlyLeaving = append(newlyLeaving, name)
		}
	}
	a.announceLeaving(newlyLeaving, now)
}

// learnLeaving records leaving servers that a peer reported, and notifies peers of those that were not known to be
// leaving.
func (a *Agent) learnLeaving(reported []model.Departure, now time.Time) {
	a.announceLeaving(a.Departures.Merge(reported[:min(len(reported), peer.MaxDepartures)], now), now)
}

// announceLeaving marks the records of servers that are newly known to be leaving, and notifies peers.
func (a *Agent) announceLeaving(newlyLeaving []model.ServerName, now time.Time) {
	if len(newlyLeaving) == 0 {
		return
	}
	for _, name := range newlyLeaving {
		if r := a.Servers.Get(name); r != nil {
			r.MarkLeaving(now)
		}
		a.Log.Info().Str("server", string(name)).Msg("leaving_mark_set")
	}
	for chunk := range slices.Chunk(newlyLeaving, peer.MaxDepartures) {
		l := peer.Leaving{From: a.Members.Self(), Departures: a.Departures.ForServers(chunk, now)}
		a.notifyPeers(func(ctx context.Context, address string) error { return a.Peers.Leaving(ctx, address, l) })
	}
}

// markLeavingServers marks the records of all servers that are known to be leaving, after records may have been replaced.
func (a *Agent) markLeavingServers(now time.Time) {
	for _, d := range a.Departures.Current(now) {
		if r := a.Servers.Get(d.Server); r != nil {
			r.MarkLeaving(now)
		}
	}
}
