package tables_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestTables(t *testing.T) { suite.Run(t, "./internal/tables") }

var start = time.Unix(1_800_000_000, 0)

func member(id model.InstanceID, heartbeat uint64) model.Member {
	return model.Member{Instance: id, Incarnation: 1, Zone: "a", Address: "x:1", Heartbeat: heartbeat}
}

func report(heartbeat uint64, silence time.Duration) model.MemberReport {
	return model.MemberReport{Member: member("i", heartbeat), Silence: silence}
}

var _ = Describe("Members", func() {
	liveness := func(t *tables.Members, now time.Time) []gossip.Liveness {
		var out []gossip.Liveness
		for _, k := range t.Snapshot(nil) {
			out = append(out, k.Liveness(now))
		}
		return out
	}

	// Guards against a dead member that counts as alive because peers repeat old reports of it.
	It("counts only a newer report as evidence that the member is alive", func() {
		t := tables.NewMembers(member("self", 0))
		t.Merge([]model.MemberReport{report(5, 0)}, start)
		t.Merge([]model.MemberReport{report(5, 0), report(4, 0)}, start.Add(6*time.Second))
		Expect(liveness(t, start.Add(6*time.Second))).To(Equal([]gossip.Liveness{gossip.Suspected}))
		t.Merge([]model.MemberReport{report(6, 0)}, start.Add(7*time.Second))
		Expect(liveness(t, start.Add(7*time.Second))).To(Equal([]gossip.Liveness{gossip.Alive}))
	})

	// Guards against a dead member that counts as alive again for each daemon that starts and learns of it from a peer.
	It("adopts the silence that a peer reports for an unknown member", func() {
		t := tables.NewMembers(member("self", 0))
		t.Merge([]model.MemberReport{report(5, 14*time.Second)}, start)
		Expect(liveness(t, start.Add(time.Second))).To(Equal([]gossip.Liveness{gossip.Dead}))
	})

	// Guards against removed daemons that stay in the table, and against the removal of a daemon that is still listed.
	It("removes a member that was not seen for a while once the platform no longer lists it", func() {
		t := tables.NewMembers(member("self", 0))
		t.SetListed("a", []model.Member{member("i", 0)}, start)
		t.Prune(start.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(HaveLen(1))
		t.SetListed("b", nil, start.Add(time.Hour))
		t.Prune(start.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(HaveLen(1), "the list of another zone does not affect it")
		t.SetListed("a", nil, start.Add(time.Hour))
		t.Prune(start.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})

	// Guards against exchanges with and notices to daemons that no peer can reach.
	It("never holds a daemon without a peer address", func() {
		t := tables.NewMembers(member("self", 0))
		m := member("i", 1)
		m.Address = ""
		t.RecordContact(m, start)
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})

	// Guards against a daemon that exchanges digests with itself.
	It("never holds the daemon itself", func() {
		t := tables.NewMembers(member("self", 0))
		t.RecordContact(member("self", 9), start)
		t.SetListed("", []model.Member{member("self", 0)}, start)
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})
})

// Guards against readers that see the configuration revert to an earlier revision.
var _ = It("Config installs only a higher revision", func() {
	c := tables.NewConfig()
	topology := func(r model.Revision) *model.Topology { return model.NewTopology(r, model.Inventory{}, model.Rules{}) }
	Expect(c.Install(topology(2))).To(BeTrue())
	Expect(c.Install(topology(1))).To(BeFalse())
	Expect(c.Install(topology(2))).To(BeFalse())
	Expect(c.Revision()).To(Equal(model.Revision(2)))
})

var _ = Describe("Departures", func() {
	// Guards against a mark that ends while the server is still leaving, and against one that never ends.
	It("ends a mark after its lifetime, which starts again with each observation", func() {
		t := tables.NewDepartures()
		Expect(t.Mark("srv", start)).To(BeTrue())
		Expect(t.Mark("srv", start.Add(20*time.Second))).To(BeFalse())
		Expect(t.Expire(start.Add(gossip.LeavingMarkTTL))).To(BeEmpty())
		Expect(t.Expire(start.Add(20*time.Second + gossip.LeavingMarkTTL))).To(ConsistOf(model.ServerName("srv")))
	})

	// Guards against daemons that spread a mark again each time a peer repeats it, and against marks that have expired.
	It("returns a server reported by peers only once", func() {
		t := tables.NewDepartures()
		reported := []model.Departure{{Server: "srv", Hold: 10 * time.Second}, {Server: "late", Hold: -time.Second}}
		Expect(t.Merge(reported, start)).To(ConsistOf(model.ServerName("srv")))
		Expect(t.Merge(reported, start)).To(BeEmpty())
		Expect(t.Expire(start.Add(10 * time.Second))).To(ConsistOf(model.ServerName("srv")))
	})

	// Guards against servers that no peer learns of because other servers fill every message.
	It("covers all servers over several samples", func() {
		t := tables.NewDepartures()
		for i := range 40 {
			t.Mark(model.ServerName(fmt.Sprintf("srv-%d", i)), start)
		}
		rnd := rand.New(rand.NewPCG(1, 1))
		sampled := map[model.ServerName]bool{}
		for range 100 {
			sample := t.Sample(start, 10, rnd)
			Expect(sample).To(HaveLen(10))
			for _, d := range sample {
				sampled[d.Server] = true
			}
		}
		Expect(sampled).To(HaveLen(40))
		Expect(t.ForServers([]model.ServerName{"srv-3", "other"}, start)).To(HaveLen(1))
	})

	// Guards against one wrong report that keeps new work from a server for a long time.
	It("limits the remaining lifetime that a peer can report", func() {
		t := tables.NewDepartures()
		t.Merge([]model.Departure{{Server: "srv", Hold: time.Hour}}, start)
		Expect(t.Expire(start.Add(gossip.LeavingMarkTTL))).To(HaveLen(1))
	})
})

var _ = It("a member that was avoided may own servers again after that time, without a change of the members", func() {
	// Guards against a daemon that gets no work until another one joins or leaves, because one batch to it failed.
	now := time.Now()
	m := model.Member{Instance: "i", Zone: "z", Incarnation: 1}
	o := tables.NewOwners()
	o.SetMembers(map[model.AvailabilityZone][]model.Member{"z": {m}}, now)
	o.Avoid(m, now.Add(time.Second), now)
	Expect(o.View().Zones["z"]).To(BeEmpty())
	o.Expire(now.Add(time.Second))
	Expect(o.View().Zones["z"]).To(ConsistOf(m))
})
