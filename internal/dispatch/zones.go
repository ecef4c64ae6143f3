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
		backend.StatusVersionNotHeld, backend.StatusMismatched, backend.StatusFailed:
		d.zoneHeard(spec.Zone)
	case backend.StatusUnreachable:
		d.zoneSilent(spec.Zone, reach.Silence{
			Kind: reach.Server, Target: string(spec.Name), Began: begin, Due: begin.Add(backend.DialTimeout),
		})
	case backend.StatusLost, backend.StatusCancelled, backend.StatusOwnerLost, backend.StatusBusy,
		backend.StatusZoneUnreachable:
	}
}

func (d *Dispatcher) zoneHeard(zone model.AvailabilityZone) {
	if d.zones.Heard(zone, time.Now()) {
		d.tellZone(zone, false)
	}
}

// zoneSilent records a call into the zone that was not answered until now. If that makes the zone unreachable, what is
// pending there is moved and probes begin.
func (d *Dispatcher) zoneSilent(zone model.AvailabilityZone, s reach.Silence) {
	now := time.Now()
	s.Noticed = now
	judgement := d.zones.Silent(zone, s, d.daemonsIn(zone), now)
	if judgement == 0 {
		return
	}
	d.tellZone(zone, true)
	d.scheduleProbe(zone, judgement, 0)
	for _, move := range d.zones.Take(zone) {
		move()
	}
	if d.forwarding != nil {
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() { d.forwarding.loseZone(zone) }})
	}
}

func (d *Dispatcher) tellZone(zone model.AvailabilityZone, unreachable bool) {
	if d.cfg.OnZone != nil {
		d.cfg.OnZone(zone, unreachable)
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
	due := began.Add(reach.SilenceBound)
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
	return q.d.zones.Enter(zone, q.Request.ID, func() {
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
		q.d.zones.Leave(q.Request.ID)
	}
	if q.moved.Load() && r.Status != backend.StatusOK {
		r.Status = backend.StatusZoneUnreachable
	}
	return r
}

// loseZone ends the attempts that are pending at daemons of the zone.
func (f *Forwarding) loseZone(zone model.AvailabilityZone) {
	for id, p := range f.forwards.LoseZone(zone) {
		p.End(forwarding.Result{ID: id, Result: backend.QueryResult{Status: backend.StatusZoneUnreachable}})
	}
}

// scheduleProbe has the zone probed unless the judgement no longer stands by then. One probe of a zone is under way at a
// time, so that an unreachable zone holds one worker, whatever the number of its servers.
func (d *Dispatcher) scheduleProbe(zone model.AvailabilityZone, judgement uint64, before int) {
	rnd := d.Rand()
	d.Timer.Schedule(time.Now().Add(reach.ProbeDelay(before, rnd)), func() {
		if !d.zones.Stands(zone, judgement) {
			return
		}
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			if d.probe(zone, before, rnd) {
				d.zoneHeard(zone)
				return
			}
			d.scheduleProbe(zone, judgement, before+1)
		}})
	})
}

// probe asks a server or a daemon of the zone, in turn, for a sign of life.
func (d *Dispatcher) probe(zone model.AvailabilityZone, before int, rnd *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reach.ProbeTimeout)
	defer cancel()
	if daemons := d.daemonsIn(zone); before%2 == 1 && len(daemons) > 0 {
		_, err := d.forwarding.sender.Forward(ctx, daemons[rnd.IntN(len(daemons))].Address, forwarding.Batch{
			From: d.forwarding.self,
		})
		return err == nil
	}
	s := d.probeTarget(zone, rnd)
	if s == nil {
		return false
	}
	defer d.release(s)
	_, err := s.Client().Health(ctx)
	return err == nil
}

// probeTarget takes spare headroom of a random server in the zone and returns its record, or nil if there is none.
func (d *Dispatcher) probeTarget(zone model.AvailabilityZone, rnd *rand.Rand) *tables.Server {
	all := d.Servers.All()
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, s := range all {
		if s.Spec().Zone == zone && s.TryAcquireSpare() {
			return s
		}
	}
	return nil
}

// ZoneUnreachable tells whether the zone is held unreachable.
func (d *Dispatcher) ZoneUnreachable(zone model.AvailabilityZone) bool {
	return d.zones.Unreachable(zone)
}
