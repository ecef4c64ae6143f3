package tables_test

import (
	"context"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

// fullUpdate returns a complete update with a configuration and daemons.
func fullUpdate(
	era directory.Era, revision directory.Revision, version model.RoutingVersion, daemons ...model.InstanceID,
) *registry.Update {
	u := &registry.Update{
		Era: era, Revision: revision, Complete: true, Routing: model.NewRouting(version, nil, nil, model.CallerLimits{}),
	}
	for _, d := range daemons {
		u.Members = append(u.Members, registry.MemberEntry{Instance: d, Member: member(d, 0)})
	}
	return u
}

var _ = Describe("a Registry after the store was restored", func() {
	var t *tables.Registry
	const before, restored = 90, 40
	restoreEnd := start.Add(directory.RestoreGrace)
	await := func(era directory.Era, revision directory.Revision) registry.PeerUpdate {
		return t.AwaitUpdate(context.Background(), gossip.Position{Era: era, Revision: revision, ConfirmedAt: start}, 50*time.Millisecond)
	}
	BeforeEach(func() {
		t = tables.NewRegistry(3 * time.Second)
		t.Apply(fullUpdate(1, before, 9, "d1", "d2", "d3"), start, start)
	})

	It("returns to the lower revision and keeps the newer configuration", func() {
		// Guards against a configuration that goes back, and against a watch from a revision that does not exist.
		c := t.Apply(fullUpdate(2, restored, 7, "d1", "d2", "d3"), start, start)
		Expect(t.Position().Point()).To(Equal(directory.Point{Era: 2, Revision: restored}))
		Expect(t.View().Routing.Version).To(BeEquivalentTo(9))
		Expect(*c.RestoredAfter).To(Equal(directory.Point{Era: 1, Revision: before}))
	})

	It("passes on the newer configuration to a daemon that has only read the copy", func() {
		// Guards against a restarted daemon that follows this one with an older configuration until the operator repeats the newer one.
		t.Apply(fullUpdate(2, restored, 7), start, start)
		stale := gossip.Position{Era: 2, Revision: restored, ConfirmedAt: start, Acknowledged: gossip.Acknowledgement{Version: 7}}
		u := t.AwaitUpdate(context.Background(), stale, time.Hour)
		Expect(u.Routing.Version).To(BeEquivalentTo(9))
		Expect(u.Complete).To(BeFalse())
		// A daemon that has the configuration, or does not state which one it has, is not sent it on each call.
		for _, version := range []model.RoutingVersion{9, math.MaxUint64} {
			stale.Acknowledged.Version = version
			Expect(t.AwaitUpdate(context.Background(), stale, 50*time.Millisecond).Routing).To(BeNil())
		}
	})

	It("counts nothing as acknowledged until what the restore lost had time to be repeated", func() {
		// Guards against a removed key that is served because the restored store still lists it.
		known, settled := boottime.Time(time.Minute), boottime.Time(time.Minute).Add(directory.RestoreGrace)
		t.Apply(&registry.Update{Era: 1, Revision: before, VerifiedAt: known - 2}, start, start)
		first := fullUpdate(2, restored, 7)
		first.VerifiedAt, first.EraKnownAt = known-1, known
		t.Apply(first, start, start)
		verify := func(at boottime.Time) boottime.Time {
			t.Apply(&registry.Update{Era: 2, Revision: restored, VerifiedAt: at}, start, start)
			return t.Position().Acknowledged.At
		}
		Expect(verify(settled - 1)).To(BeZero())
		Expect(verify(settled)).To(Equal(settled))
		Expect(t.Position().VerifiedAt).To(Equal(settled))
	})

	It("counts what another daemon knows of acknowledged configurations if its own is as new", func() {
		// Guards against an older configuration that counts as verified by what a daemon with a newer one knows.
		acknowledge := func(version model.RoutingVersion) boottime.Time {
			u := &registry.Update{Era: 1, Revision: before, Acknowledged: gossip.Acknowledgement{At: 20, Version: version}}
			t.Apply(u, start, start)
			return t.Position().Acknowledged.At
		}
		Expect(acknowledge(10)).To(BeZero())
		Expect(acknowledge(9)).To(BeEquivalentTo(20))
	})

	It("ignores a late update of the earlier era", func() {
		// Guards against an answer from before the restore that arrives after one from after it.
		t.Apply(fullUpdate(2, restored, 9, "d1"), start, start)
		c := t.Apply(fullUpdate(1, before+1, 11, "d1", "d4"), start.Add(time.Second), start.Add(time.Second))
		Expect(c.AffectsTopology()).To(BeFalse())
		Expect(t.View().Routing.Version).To(BeEquivalentTo(9))
		Expect(t.Position().ConfirmedAt).To(Equal(start))
	})

	It("keeps daemons whose entries are missing, or end, until they had time to write them again", func() {
		// Guards against a smaller number of daemons, with which the budgets of all others together exceed the fleet's.
		t.Apply(fullUpdate(2, restored, 9, "d1"), start, start)
		now := start.Add(time.Second)
		gone := []registry.MemberEntry{{Instance: "d1", Gone: true}}
		c := t.Apply(&registry.Update{Era: 2, Revision: restored + 1, Members: gone}, now, now)
		Expect(c.MembersChanged).To(BeFalse())
		back := []registry.MemberEntry{{Instance: "d2", Member: member("d2", 0)}}
		t.Apply(&registry.Update{Era: 2, Revision: restored + 2, Members: back}, now, now)
		t.Expire(start.Add(2 * time.Second))
		Expect(t.Members()).To(HaveLen(3))
		Expect(t.NextExpiry()).To(Equal(restoreEnd))
		t.Expire(restoreEnd)
		Expect(t.Members()).To(ConsistOf(member("d2", 0)))
	})

	It("keeps the later run of a daemon that the restored store knows by an earlier one", func() {
		// Guards against calls to the address of a process that has ended.
		old := fullUpdate(2, restored, 9, "d1", "d2", "d3")
		old.Members[0].Member.Incarnation, old.Members[0].Member.Address = 0, "y:1"
		t.Apply(old, start, start)
		Expect(t.Members()).To(ContainElement(member("d1", 0)))
	})

	It("passes the complete content to a follower of the earlier era, whatever its revision", func() {
		// Guards against a follower that takes changes of the new era for those after its own revision.
		t.Apply(fullUpdate(2, restored, 9, "d1"), start, start)
		for _, revision := range []directory.Revision{restored - 1, restored, before} {
			u := await(1, revision)
			Expect(u.Complete).To(BeTrue())
			Expect(u.Point()).To(Equal(directory.Point{Era: 2, Revision: restored}))
		}
	})

	It("passes nothing to a follower of a later era, and does not keep it waiting", func() {
		// Guards against a follower that waits for a daemon that has not heard of the restore.
		begin := time.Now()
		u := t.AwaitUpdate(context.Background(), gossip.Position{Era: 2, Revision: restored, ConfirmedAt: start}, time.Minute)
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
		Expect(u.Era).To(BeEquivalentTo(1))
		Expect(u.Complete).To(BeFalse())
	})

	It("clears the kept updates of the earlier era", func() {
		// Guards against a follower of the new era that gets changes of the earlier one.
		t.Apply(&registry.Update{Era: 1, Revision: before + 1, Members: []registry.MemberEntry{{Instance: "d9"}}}, start, start)
		t.Apply(fullUpdate(2, restored, 9, "d1"), start, start)
		u := await(2, restored)
		Expect(u.Complete).To(BeFalse())
		Expect(u.Members).To(BeEmpty())
	})
})

var _ = Describe("Registry", func() {
	var t *tables.Registry
	BeforeEach(func() { t = tables.NewRegistry(time.Second) })

	It("does not count a verification for a routing configuration that it replaces", func() {
		// Guards against a removed key that is served with the old configuration in the moment before the new one is in force.
		first := model.NewRouting(1, nil, nil, model.CallerLimits{})
		second := model.NewRouting(2, nil, nil, model.CallerLimits{})
		t.Apply(&registry.Update{Revision: 1, Routing: first, VerifiedAt: 10}, time.Now(), time.Now())
		t.RoutingInstalled(first)
		t.Apply(&registry.Update{Revision: 2, Routing: second, VerifiedAt: 20}, time.Now(), time.Now())
		t.RoutingInstalled(first)
		Expect(t.AcknowledgedInForce()).To(Equal(boottime.Time(10)))
		t.RoutingInstalled(second)
		Expect(t.AcknowledgedInForce()).To(Equal(boottime.Time(20)))
	})

	It("does not count the verification of an update of another era that it does not apply", func() {
		// Guards against a configuration that counts as verified by what the store held before, or after, an unknown restore.
		t.Apply(&registry.Update{Era: 1, Revision: 5, Complete: true, VerifiedAt: 10}, time.Now(), time.Now())
		t.Apply(&registry.Update{Revision: 9, Complete: true, VerifiedAt: 20}, time.Now(), time.Now())
		t.Apply(&registry.Update{Era: 2, Revision: 9, VerifiedAt: 30}, time.Now(), time.Now())
		Expect(t.Position().VerifiedAt).To(Equal(boottime.Time(10)))
	})

	It("ends the evacuations that a complete update does not list", func() {
		// Guards against a zone that stays evacuated because its key was deleted while the daemon had no contact.
		evacuated := []registry.Evacuation{{Zone: "z", Active: true}}
		t.Apply(&registry.Update{Revision: 1, Evacuations: evacuated}, time.Now(), time.Now())
		Expect(t.View().Evacuated).To(HaveKey(model.AvailabilityZone("z")))
		c := t.Apply(&registry.Update{Revision: 5, Complete: true}, time.Now(), time.Now())
		Expect(c.Evacuations).To(ConsistOf(registry.Evacuation{Zone: "z"}))
		Expect(t.View().Evacuated).To(BeEmpty())
	})

	It("keeps an evacuation that a restored store does not have", func() {
		// Guards against requests to an evacuated zone until the operator has written the evacuation again.
		t.Apply(&registry.Update{Era: 1, Revision: 9, Complete: true, Evacuations: []registry.Evacuation{{Zone: "z", Active: true}}}, time.Now(), time.Now())
		t.Apply(&registry.Update{Era: 2, Revision: 5, Complete: true}, time.Now(), time.Now())
		Expect(t.View().Evacuated).To(HaveKey(model.AvailabilityZone("z")))
		t.Apply(&registry.Update{Era: 2, Revision: 6, Evacuations: []registry.Evacuation{{Zone: "z"}}}, time.Now(), time.Now())
		Expect(t.View().Evacuated).To(BeEmpty())
	})
})
