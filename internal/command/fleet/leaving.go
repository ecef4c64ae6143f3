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
	// trustList is how long the last list that was read stands for the platform while it is unreachable.
	trustList = 5 * time.Minute
	// manyFailures is the number of failed reads in a row after which the platform's return ends a waiting watch, whose
	// connection may have been lost without a sign.
	manyFailures = 2
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

// leavingList is the last list that was read.
type leavingList struct {
	names    []model.ServerName
	readAt   time.Time
	failures int
}

func (a *Agent) readLeaving(ctx context.Context, list *leavingList) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := a.Instances.Instances(callCtx, platform.InstanceQuery{
		Role: platform.RoleServer, State: platform.InstanceLeaving,
	})
	now := time.Now()
	if err != nil {
		list.failures++
		if now.Sub(list.readAt) < trustList {
			a.signLeaving(list.names, now)
		}
		return
	}
	if cancelWatch := a.rewatch.Load(); list.failures >= manyFailures && cancelWatch != nil {
		(*cancelWatch)()
	}
	*list = leavingList{readAt: now}
	for _, r := range rows {
		list.names = append(list.names, model.ServerName(r.Name))
	}
	a.signLeaving(list.names, now)
}

// ObserveDraining records a drain answer that this daemon saw.
func (a *Agent) ObserveDraining(name model.ServerName) {
	a.signLeaving([]model.ServerName{name}, time.Now())
}

// signLeaving records signs that this daemon saw itself, and tells peers of servers that were not known to be leaving.
func (a *Agent) signLeaving(names []model.ServerName, now time.Time) {
	var first []model.ServerName
	for _, name := range names {
		if a.Departures.Mark(name, now) {
			first = append(first, name)
		}
	}
	a.spreadLeaving(first, now)
}

// learnLeaving records what a peer told of leaving servers.
func (a *Agent) learnLeaving(told []model.Departure, now time.Time) {
	a.spreadLeaving(a.Departures.Merge(told[:min(len(told), peer.MaxDepartures)], now), now)
}

// spreadLeaving marks the records of servers whose first sign was just seen, and tells peers.
func (a *Agent) spreadLeaving(first []model.ServerName, now time.Time) {
	if len(first) == 0 {
		return
	}
	for _, name := range first {
		if r := a.Servers.Get(name); r != nil {
			r.MarkLeaving(now)
		}
		a.Log.Info().Str("server", string(name)).Msg("leaving_mark_set")
	}
	for part := range slices.Chunk(first, peer.MaxDepartures) {
		l := peer.Leaving{From: a.Members.Self(), Departures: a.Departures.ForServers(part, now)}
		a.tell(func(ctx context.Context, address string) error { return a.Peers.Leaving(ctx, address, l) })
	}
}

// markRecords marks the records of all servers that are known to be leaving, after records may have been replaced.
func (a *Agent) markRecords(now time.Time) {
	for _, d := range a.Departures.Current(now) {
		if r := a.Servers.Get(d.Server); r != nil {
			r.MarkLeaving(now)
		}
	}
}
