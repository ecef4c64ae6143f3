package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/zonehealth"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// tracksReachability reports whether the zone may be marked unreachable. The daemon's own zone never is: if the servers there
// do not respond, the daemon still tries each of them.
func (d *Dispatcher) tracksReachability(zone model.AvailabilityZone) bool {
	return zone != d.cfg.Zone && d.cfg.Policy != model.PolicyBaseline
}

// recordZoneEvidence records whether the result of an attempt that was sent at begin shows the server's zone to be reachable
// or not. An attempt that was sent and got no reply is no evidence, because requests to overloaded and slow servers also
// exceed their deadlines.
func (d *Dispatcher) recordZoneEvidence(spec *model.Server, begin time.Time, status backend.Status) {
	if !d.tracksReachability(spec.Zone) {
		return
	}
	switch status {
	case backend.StatusOK, backend.StatusShed, backend.StatusDraining, backend.StatusDeadlinePassed,
		backend.StatusVersionNotHeld, backend.StatusMismatched, backend.StatusFailed, backend.StatusReplaced:
		d.recordZoneReply(spec.Zone)
	case backend.StatusUnreachable:
		d.recordZoneNoReply(spec.Zone, zonehealth.UnansweredCall{
			Kind: zonehealth.Server, Target: string(spec.Name), Began: begin, Due: begin.Add(backend.DialTimeout),
		})
	case backend.StatusLost, backend.StatusCancelled, backend.StatusOwnerLost, backend.StatusBusy,
		backend.StatusZoneUnreachable, backend.StatusOverBudget:
	}
}

// recordZoneReply records a reply from the zone, which makes an unreachable zone reachable again.
func (d *Dispatcher) recordZoneReply(zone model.AvailabilityZone) {
	if d.zones.RecordReply(zone, time.Now()) {
		d.notifyZoneChange(zone, false)
	}
}

// recordZoneNoReply records a call into the zone that got no reply in time. While the zone is suspected, more of its
// servers are probed. If it becomes unreachable, the attempts that are in flight there are aborted, so that they can be
// retried in other zones.
func (d *Dispatcher) recordZoneNoReply(zone model.AvailabilityZone, call zonehealth.UnansweredCall) {
	now := time.Now()
	call.Noticed = now
	assessment := d.zones.RecordNoReply(zone, call, d.daemonsIn(zone), now)
	if assessment.Confirm {
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			d.probeSuspectedZone(zone, model.ServerName(call.Target))
		}})
	}
	if assessment.Verdict != zonehealth.Unreachable {
		return
	}
	d.notifyZoneChange(zone, true)
	d.scheduleZoneProbe(zone, assessment.Outage, 0)
	for _, abort := range d.zones.TakeAttempts(zone) {
		abort()
	}
	if d.forwarding != nil {
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			d.forwarding.failPending(d.forwarding.forwards.TakePendingInZone(zone), backend.StatusZoneUnreachable)
		}})
	}
}

// probeSuspectedZone probes servers of a suspected zone other than suspect, whose missing reply raised the suspicion.
func (d *Dispatcher) probeSuspectedZone(zone model.AvailabilityZone, suspect model.ServerName) {
	for _, s := range d.acquireProbeTargets(zone, suspect, zonehealth.ConfirmProbes) {
		d.ready.Push(&tables.Attempt{Server: s, Rank: model.RankUrgent, Run: func() { d.probeServer(s) }})
	}
}

func (d *Dispatcher) notifyZoneChange(zone model.AvailabilityZone, unreachable bool) {
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

// startReplyTimer records a missing reply of a daemon in another zone unless the returned function is called before the
// reply is due.
func (d *Dispatcher) startReplyTimer(to model.Member, began time.Time) (stop func()) {
	if !d.tracksReachability(to.Zone) {
		return func() {}
	}
	due := began.Add(zonehealth.AckTimeout(d.zones.RoundTrip(to.Zone)))
	entry := d.Timer.Schedule(due, func() {
		d.recordZoneNoReply(to.Zone, zonehealth.UnansweredCall{Kind: zonehealth.Daemon, Target: string(to.Instance), Began: began, Due: due})
	})
	return func() { d.Timer.Cancel(entry) }
}

// beginInZone registers the attempt as in flight in its server's zone. It returns false if the zone is unreachable and the
// attempt must not be sent.
func (q *QueryAttempt) beginInZone() bool {
	zone := q.Server.Spec().Zone
	if !q.d.tracksReachability(zone) {
		return true
	}
	return q.d.zones.AddAttempt(zone, q.Request.ID, func() {
		q.zoneUnreachable.Store(true)
		q.stop()
	})
}

// endInZone records that the attempt is no longer in flight and returns its result. If the attempt was aborted because the
// zone became unreachable, the status of the result is StatusZoneUnreachable.
func (q *QueryAttempt) endInZone(r backend.QueryResult) backend.QueryResult {
	if q.d.tracksReachability(q.Server.Spec().Zone) {
		q.d.zones.RemoveAttempt(q.Request.ID)
	}
	if q.zoneUnreachable.Load() && r.Status != backend.StatusOK {
		r.Status = backend.StatusZoneUnreachable
	}
	return r
}

// scheduleZoneProbe schedules the next probe of an unreachable zone. It is skipped if the outage with the given number has
// ended by then. At most one probe of a zone is in flight, so that an unreachable zone occupies one worker regardless of the
// number of its servers. probesSent is the number of earlier probes in this outage.
func (d *Dispatcher) scheduleZoneProbe(zone model.AvailabilityZone, outage uint64, probesSent int) {
	rnd := d.Rand()
	d.Timer.Schedule(time.Now().Add(zonehealth.ProbeDelay(probesSent, rnd)), func() {
		if !d.zones.InOutage(zone, outage) {
			return
		}
		d.ready.Push(&tables.Attempt{Rank: model.RankUrgent, Run: func() {
			if d.probeZone(zone, probesSent, rnd); d.zones.InOutage(zone, outage) {
				d.scheduleZoneProbe(zone, outage, probesSent+1)
			}
		}})
	})
}

// probeZone sends one probe to a random server of the zone or, every second time, to one of its daemons if there are any.
func (d *Dispatcher) probeZone(zone model.AvailabilityZone, probesSent int, rnd *rand.Rand) {
	daemons := d.daemonsIn(zone)
	if probesSent%2 == 0 || len(daemons) == 0 {
		for _, s := range d.acquireProbeTargets(zone, "", 1) {
			d.probeServer(s)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), zonehealth.ProbeTimeout(d.zones.RoundTrip(zone)))
	defer cancel()
	address := daemons[rnd.IntN(len(daemons))].Address
	_, err := d.forwarding.sender.Forward(ctx, address, forwarding.Batch{From: d.forwarding.self})
	if err == nil {
		d.recordZoneReply(zone)
	}
}

// probeServer sends a health request to a server for which spare capacity was acquired, and records whether it replied.
func (d *Dispatcher) probeServer(s *tables.Server) {
	defer d.release(s)
	zone := s.Spec().Zone
	begin := time.Now()
	due := begin.Add(zonehealth.ProbeTimeout(d.zones.RoundTrip(zone)))
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	if h, err := s.Client().Health(ctx); err == nil {
		recordColdness(s, h, time.Now())
		d.recordZoneReply(zone)
		return
	}
	d.recordZoneNoReply(zone, zonehealth.UnansweredCall{Kind: zonehealth.Server, Target: string(s.Name()), Began: begin, Due: due})
}

// acquireProbeTargets acquires spare capacity at random servers in the zone, except the excluded one, and returns at most
// count of them.
func (d *Dispatcher) acquireProbeTargets(zone model.AvailabilityZone, excluded model.ServerName, count int) []*tables.Server {
	all := d.Servers.All()
	var targets []*tables.Server
	now := time.Now()
	for _, i := range d.Rand().Perm(len(all)) {
		if len(targets) == count {
			break
		}
		if s := all[i]; s.Name() != excluded && s.Spec().Zone == zone && s.Pushback(now) == 0 && d.mayConnect(s) && s.TryAcquireSpare() {
			targets = append(targets, s)
		}
	}
	return targets
}

// ZoneRoundTrip returns the round-trip time to the zone, or 0 if it is unknown.
func (d *Dispatcher) ZoneRoundTrip(zone model.AvailabilityZone) time.Duration {
	return d.zones.RoundTrip(zone)
}

// ZoneUnreachable reports whether the zone is considered unreachable.
func (d *Dispatcher) ZoneUnreachable(zone model.AvailabilityZone) bool {
	return d.zones.Unreachable(zone)
}
