package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/reach"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// watches tells whether the zone may be judged unreachable. A daemon's own zone is not: where its own servers do not
// answer, it has nothing better to do than to try each of them.
func (d *Dispatcher) watches(zone model.AvailabilityZone) bool {
	return zone != d.cfg.Zone && d.cfg.Policy != model.PolicyBaseline
}

// noteEnd records what the end of an attempt that was sent at begin says about its server's zone. An attempt that was sent
// and got no reply says nothing, because overloaded and slow servers let requests run into their deadlines, too.
func (d *Dispatcher) noteEnd(spec *model.Server, begin time.Time, status backend.Status) {
	if !d.watches(spec.Zone) {
		return
	}
	switch status {
	case backend.StatusOK, backend.StatusShed, backend.StatusDraining, backend.StatusDeadlinePassed,
		backend.StatusVersionNotHeld, backend.StatusMismatched, backend.StatusFailed, backend.StatusReplaced:
		d.zoneHeard(spec.Zone)
	case backend.StatusUnreachable:
		d.zoneSilent(spec.Zone, reach.Silence{
			Kind: reach.Server, Target: string(spec.Name), Began: begin, Due: begin.Add(backend.DialTimeout),
		})
	case backend.StatusLost, backend.StatusCancelled, backend.StatusOwnerLost, backend.StatusBusy,
		backend.StatusZoneUnreachable, backend.StatusOverBudget:
	}
}

func (d *Dispatcher) zoneHeard(zone model.AvailabilityZone) {
	if d.zones.RecordReply(zone, time.Now()) {
		d.notifyZone(zone, false)
	}
}

// zoneSilent records a call into the zone that was not answered until now. A suspected zone is checked by probes of more
// servers. If the zone becomes unreachable, what is pending there is moved.
func (d *Dispatcher) zoneSilent(zone model.AvailabilityZone, s reach.Silence) {
	now := time.Now()
	s.Noticed = now
	judgement := d.zones.RecordSilence(zone, s, d.daemonsIn(zone), now)
	if judgement.Confirm {
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() { d.check(zone, model.ServerName(s.Target)) }})
	}
	if judgement.Verdict != reach.Unreachable {
		return
	}
	d.notifyZone(zone, true)
	d.scheduleProbe(zone, judgement.Outage, 0)
	for _, move := range d.zones.TakeAttempts(zone) {
		move()
	}
	if d.forwarding != nil {
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			d.forwarding.lose(d.forwarding.forwards.TakePendingInZone(zone), backend.StatusZoneUnreachable)
		}})
	}
}

// check has servers of a suspected zone probed, other than the one that raised the suspicion.
func (d *Dispatcher) check(zone model.AvailabilityZone, suspect model.ServerName) {
	for _, s := range d.probeTargets(zone, suspect, reach.ConfirmProbes) {
		d.ready.Push(&tables.Attempt{Server: s, Rank: model.RankUrgent, Run: func() { d.probeServer(s) }})
	}
}

func (d *Dispatcher) notifyZone(zone model.AvailabilityZone, unreachable bool) {
	if d.cfg.OnZoneChange != nil {
		d.cfg.OnZoneChange(zone, unreachable)
	}
}

func (d *Dispatcher) daemonsIn(zone model.AvailabilityZone) []model.Member {
	if d.forwarding == nil {
		return nil
	}
	return d.forwarding.owners.View().Zones[zone]
}

// watchBatch has a daemon of another zone noted as silent unless the returned function is called before.
func (d *Dispatcher) watchBatch(to model.Member, began time.Time) (answered func()) {
	if !d.watches(to.Zone) {
		return func() {}
	}
	due := began.Add(reach.SilenceBound(d.zones.RoundTrip(to.Zone)))
	alarm := d.Timer.Schedule(due, func() {
		d.zoneSilent(to.Zone, reach.Silence{Kind: reach.Daemon, Target: string(to.Instance), Began: began, Due: due})
	})
	return func() { d.Timer.Cancel(alarm) }
}

// enterZone records that the attempt is about to be sent, and tells whether it may be.
func (q *QueryAttempt) enterZone() bool {
	zone := q.Server.Spec().Zone
	if !q.d.watches(zone) {
		return true
	}
	return q.d.zones.AddAttempt(zone, q.Request.ID, func() {
		q.moved.Store(true)
		q.stop()
	})
}

// refuseZone ends an attempt that waited while its server's zone became unreachable, without sending it.
func (q *QueryAttempt) refuseZone() {
	if q.Probe {
		q.Server.EndProbe()
	}
	q.d.release(q.Server)
	q.stop()
	q.Done(q, backend.QueryResult{Status: backend.StatusZoneUnreachable})
}

// leaveZone records that the attempt ended, and returns its result with the status of a moved one if it was moved.
func (q *QueryAttempt) leaveZone(r backend.QueryResult) backend.QueryResult {
	if q.d.watches(q.Server.Spec().Zone) {
		q.d.zones.RemoveAttempt(q.Request.ID)
	}
	if q.moved.Load() && r.Status != backend.StatusOK {
		r.Status = backend.StatusZoneUnreachable
	}
	return r
}

// scheduleProbe has the zone probed unless the judgement no longer stands by then. One probe of a zone is under way at a
// time, so that an unreachable zone holds one worker, whatever the number of its servers.
func (d *Dispatcher) scheduleProbe(zone model.AvailabilityZone, judgement uint64, before int) {
	rnd := d.Rand()
	d.Timer.Schedule(time.Now().Add(reach.ProbeDelay(before, rnd)), func() {
		if !d.zones.InOutage(zone, judgement) {
			return
		}
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			if d.probe(zone, before, rnd); d.zones.InOutage(zone, judgement) {
				d.scheduleProbe(zone, judgement, before+1)
			}
		}})
	})
}

// probe asks a server or a daemon of the zone, in turn, for a sign of life.
func (d *Dispatcher) probe(zone model.AvailabilityZone, before int, rnd *rand.Rand) {
	daemons := d.daemonsIn(zone)
	if before%2 == 0 || len(daemons) == 0 {
		for _, s := range d.probeTargets(zone, "", 1) {
			d.probeServer(s)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reach.ProbeTimeout(d.zones.RoundTrip(zone)))
	defer cancel()
	address := daemons[rnd.IntN(len(daemons))].Address
	_, err := d.forwarding.sender.Forward(ctx, address, forwarding.Batch{From: d.forwarding.self})
	if err == nil {
		d.zoneHeard(zone)
	}
}

// probeServer asks a server, of which spare headroom was taken, for its health and records whether it answered.
func (d *Dispatcher) probeServer(s *tables.Server) {
	defer d.release(s)
	zone := s.Spec().Zone
	begin := time.Now()
	due := begin.Add(reach.ProbeTimeout(d.zones.RoundTrip(zone)))
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	if _, err := s.Client().Health(ctx); err == nil {
		d.zoneHeard(zone)
		return
	}
	d.zoneSilent(zone, reach.Silence{Kind: reach.Server, Target: string(s.Name()), Began: begin, Due: due})
}

// probeTargets takes spare headroom of at most n random servers in the zone other than the given one.
func (d *Dispatcher) probeTargets(zone model.AvailabilityZone, other model.ServerName, n int) []*tables.Server {
	all := d.Servers.All()
	var targets []*tables.Server
	for _, i := range d.Rand().Perm(len(all)) {
		if len(targets) == n {
			break
		}
		if s := all[i]; s.Name() != other && s.Spec().Zone == zone && s.TryAcquireSpare() {
			targets = append(targets, s)
		}
	}
	return targets
}

// ZoneRoundTrip returns the round trip time to the zone, 0 if it is not known.
func (d *Dispatcher) ZoneRoundTrip(zone model.AvailabilityZone) time.Duration {
	return d.zones.RoundTrip(zone)
}

// ZoneUnreachable tells whether the zone is held unreachable.
func (d *Dispatcher) ZoneUnreachable(zone model.AvailabilityZone) bool {
	return d.zones.Unreachable(zone)
}
