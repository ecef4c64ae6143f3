package follow_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// sequenceOf returns the sequence of an entry of the simulation, which the entry states as its warm-up time so that it can be seen in
// the daemons' tables.
func sequenceOf(r *model.Registration) model.EntrySequence { return model.EntrySequence(r.WarmUp) }

// restore returns the store to its state at the given time, raises the era, and returns the changes that are lost. The daemons' entries
// are lost, or only those that are newer than the copy.
func (s *memoryStore) restore(to time.Time, losesLeases bool) (lost []change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	journal := s.journal
	s.era++
	s.journal, s.history, s.revision, s.routing = nil, nil, 0, nil
	s.servers, s.members = map[model.ServerName]registry.ServerEntry{}, map[model.InstanceID]lease{}
	for _, c := range journal {
		if c.at.After(to) {
			lost = append(lost, c)
		} else {
			s.replay(c, losesLeases)
		}
	}
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// replay applies a change that the copy has. The caller holds mu.
func (s *memoryStore) replay(c change, losesLeases bool) {
	s.journal, s.revision = append(s.journal, c), c.revision
	switch {
	case c.routing != nil:
		s.routing = c.routing
	case c.server != nil && c.server.State == registry.EntryRemoved:
		delete(s.servers, c.server.Name)
	case c.server != nil:
		s.servers[c.server.Name] = *c.server
	case c.member.Gone:
		delete(s.members, c.member.Instance)
	case !losesLeases:
		s.members[c.member.Instance] = lease{member: c.member.Member, expires: time.Now().Add(30 * time.Second)}
	}
}

// repeat is a write that was lost and that its writer repeats at the given time.
type repeat struct {
	at    time.Time
	write func()
}

// repeatDelays are the delays after which lost writes are repeated, in turn. The longest one is that of the platform.
var repeatDelays = []time.Duration{0, 2 * time.Second, 700 * time.Millisecond}

// restore restores the store from a copy of the given age. The time limits of what is lost count from its repetition.
func (sim *simulation) restore(age time.Duration, losesLeases bool) {
	now := time.Now()
	for _, d := range sim.daemons {
		d.lastDisturbed = now
	}
	for i, c := range sim.store.restore(now.Add(-age), losesLeases) {
		r := repeat{at: now.Add(repeatDelays[i%len(repeatDelays)])}
		switch {
		case c.routing != nil:
			delete(sim.writtenAt, c.routing.Version)
			r.write = sim.writeRouting
		case c.server != nil:
			delete(sim.joinedAt, c.server.Name)
			delete(sim.leftAt, c.server.Name)
			r.write = func() { sim.writeServer(c.server.Name) }
		default:
			continue
		}
		sim.repeats = append(sim.repeats, r)
	}
}

// repeatLost repeats the lost writes that are due.
func (sim *simulation) repeatLost(now time.Time) {
	pending := sim.repeats
	sim.repeats = nil
	for _, r := range pending {
		if now.Before(r.at) {
			sim.repeats = append(sim.repeats, r)
			continue
		}
		r.write()
	}
}

// checkSequences checks that no server's entry is replaced by an earlier one of the server.
func (sim *simulation) checkSequences(d *daemon) {
	seen := map[model.ServerName]model.EntrySequence{}
	for _, r := range d.registry.View().Servers {
		seen[r.Name] = sequenceOf(&r)
		if before := d.sequences[r.Name]; seen[r.Name] < before {
			sim.violation = fmt.Sprintf("d%d went back from entry %d of server %s to %d", d.index, before, r.Name, seen[r.Name])
		}
	}
	d.sequences = seen
}

// TestEntryAfterRestore guards against a daemon whose entry is missing until its next renewal, and against the renewal or revocation
// of a lease of the earlier era, whose number may have been granted to another daemon.
func TestEntryAfterRestore(t *testing.T) {
	for _, refusing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(1, platformBounds{configApply: 3 * time.Second, drain: 3 * time.Second})
			client := sim.daemons[0].client
			time.Sleep(5 * time.Second)
			sim.store.restore(time.Now(), true)
			client.mu.Lock()
			client.calls, client.refusesWrites = nil, refusing
			client.mu.Unlock()
			time.Sleep(2 * time.Second)
			if back := len(sim.store.snapshot().Members) == 1; back == refusing {
				t.Errorf("writes refused %t: entry written again %t", refusing, back)
			}
			sim.daemons[0].shutDown(true)
			for i, call := range client.calls {
				if call != callAnnounce && (refusing || call != callWithdraw || i == 0) {
					t.Errorf("writes refused %t: calls after the restore: %v", refusing, client.calls)
				}
			}
		})
	}
}

// TestRemovalLostByRestore guards against a key that is served later than the period after its removal, which a restore lost. The
// daemon reads the restored store before the removal is repeated, and is cut off afterwards.
func TestRemovalLostByRestore(t *testing.T) {
	steps := []step{
		{kind: stepRestoreKey, pause: minSettled},
		// The restore loses the entry of this daemon too, so that the removal is the second write and is repeated after 2 s.
		{kind: stepKill, target: 2},
		{kind: stepRemoveKey, pause: 12 * checkInterval},
		{kind: stepRestore, target: 5},
		{kind: stepKill, target: 1, pause: checkInterval},
		{kind: stepPartition, target: 1},
		{kind: stepFault, target: 1, pause: 3 * revocationPeriod},
	}
	synctest.Test(t, func(t *testing.T) {
		if violation := run(steps, 4, revocationBounds); violation != "" {
			t.Error(violation)
		}
	})
}

// TestServerRestartsAfterRestore guards against a new run of a server that is not used, because the restored store listed the run before
// it, which had announced that it leaves and was gone.
func TestServerRestartsAfterRestore(t *testing.T) {
	bounds := platformBounds{configApply: 1500 * time.Millisecond, drain: 1500 * time.Millisecond, settled: minSettled}
	steps := []step{
		{kind: stepDrain, target: 5, pause: 4 * checkInterval},
		{kind: stepRemove, target: 5, pause: checkInterval},
		{kind: stepRestore, target: 1},
		{kind: stepRegister, target: 5},
	}
	synctest.Test(t, func(t *testing.T) {
		if violation := run(steps, 1, bounds); violation != "" {
			t.Error(violation)
		}
	})
}
