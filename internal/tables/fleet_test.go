package tables_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestTables(t *testing.T) { suite.Run(t, "./internal/tables") }

var begin = time.Unix(1_800_000_000, 0)

func member(id model.InstanceID, heartbeat uint64) model.Member {
	return model.Member{Instance: id, Incarnation: 1, Zone: "a", Address: "x:1", Heartbeat: heartbeat}
}

func sighting(heartbeat uint64, silence time.Duration) model.Sighting {
	return model.Sighting{Member: member("i", heartbeat), Silence: silence}
}

var _ = Describe("Members", func() {
	liveness := func(t *tables.Members, now time.Time) []spread.Liveness {
		var out []spread.Liveness
		for _, k := range t.Snapshot(nil) {
			out = append(out, k.Liveness(now))
		}
		return out
	}

	It("takes only later news as evidence of life", func() {
		t := tables.NewMembers(member("self", 0))
		t.Merge([]model.Sighting{sighting(5, 0)}, begin)
		t.Merge([]model.Sighting{sighting(5, 0), sighting(4, 0)}, begin.Add(6*time.Second))
		Expect(liveness(t, begin.Add(6*time.Second))).To(Equal([]spread.Liveness{spread.Suspected}))
		t.Merge([]model.Sighting{sighting(6, 0)}, begin.Add(7*time.Second))
		Expect(liveness(t, begin.Add(7*time.Second))).To(Equal([]spread.Liveness{spread.Alive}))
	})

	// Guards against news of a dead member that lives on among daemons that start one after the other.
	It("takes over the age of news of an unknown member", func() {
		t := tables.NewMembers(member("self", 0))
		t.Merge([]model.Sighting{sighting(5, 14*time.Second)}, begin)
		Expect(liveness(t, begin.Add(time.Second))).To(Equal([]spread.Liveness{spread.Dead}))
	})

	It("forgets a silent member once the platform does not list it", func() {
		t := tables.NewMembers(member("self", 0))
		t.SetListed("a", []model.Member{member("i", 0)}, begin)
		t.Prune(begin.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(HaveLen(1))
		t.SetListed("b", nil, begin.Add(time.Hour))
		t.Prune(begin.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(HaveLen(1), "another zone's list says nothing about it")
		t.SetListed("a", nil, begin.Add(time.Hour))
		t.Prune(begin.Add(time.Hour))
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})

	// Guards against exchanges and notices that are spent on daemons that no peer can reach.
	It("never holds a daemon without a peers' address", func() {
		t := tables.NewMembers(member("self", 0))
		m := member("i", 1)
		m.Address = ""
		t.RecordContact(m, begin)
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})

	It("never holds the daemon itself", func() {
		t := tables.NewMembers(member("self", 0))
		t.RecordContact(member("self", 9), begin)
		t.SetListed("", []model.Member{member("self", 0)}, begin)
		Expect(t.Snapshot(nil)).To(BeEmpty())
	})
})

// Guards against a reader of the table that sees a configuration go back.
var _ = It("Config takes only a higher revision", func() {
	c := tables.NewConfig()
	topology := func(r model.Revision) *model.Topology { return model.NewTopology(r, model.Inventory{}, model.Rules{}) }
	Expect(c.Install(topology(2))).To(BeTrue())
	Expect(c.Install(topology(1))).To(BeFalse())
	Expect(c.Install(topology(2))).To(BeFalse())
	Expect(c.Revision()).To(Equal(model.Revision(2)))
})

var _ = Describe("Departures", func() {
	It("ends a mark after its hold, and a further sign puts that off", func() {
		t := tables.NewDepartures()
		Expect(t.Mark("srv", begin)).To(BeTrue())
		Expect(t.Mark("srv", begin.Add(20*time.Second))).To(BeFalse())
		Expect(t.Expire(begin.Add(spread.LeavingHold))).To(BeEmpty())
		Expect(t.Expire(begin.Add(20*time.Second + spread.LeavingHold))).To(ConsistOf(model.ServerName("srv")))
	})

	It("reports a server that a peer told of once", func() {
		t := tables.NewDepartures()
		told := []model.Departure{{Server: "srv", Hold: 10 * time.Second}, {Server: "late", Hold: -time.Second}}
		Expect(t.Merge(told, begin)).To(ConsistOf(model.ServerName("srv")))
		Expect(t.Merge(told, begin)).To(BeEmpty())
		Expect(t.Expire(begin.Add(10 * time.Second))).To(ConsistOf(model.ServerName("srv")))
	})

	// Guards against servers that no peer hears of because others fill every message.
	It("names all servers over several samples", func() {
		t := tables.NewDepartures()
		for i := range 40 {
			t.Mark(model.ServerName(fmt.Sprintf("srv-%d", i)), begin)
		}
		rnd := rand.New(rand.NewPCG(1, 1))
		named := map[model.ServerName]bool{}
		for range 100 {
			sample := t.Sample(begin, 10, rnd)
			Expect(sample).To(HaveLen(10))
			for _, d := range sample {
				named[d.Server] = true
			}
		}
		Expect(named).To(HaveLen(40))
		Expect(t.ForServers([]model.ServerName{"srv-3", "other"}, begin)).To(HaveLen(1))
	})

	It("bounds the hold that a peer can ask for", func() {
		t := tables.NewDepartures()
		t.Merge([]model.Departure{{Server: "srv", Hold: time.Hour}}, begin)
		Expect(t.Expire(begin.Add(spread.LeavingHold))).To(HaveLen(1))
	})
})
