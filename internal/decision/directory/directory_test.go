package directory_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestDirectory(t *testing.T) { suite.Run(t, "./internal/decision/directory") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// drainPeriod is the time after which a server whose entry was removed must get no requests, and restoreTime the time that
	// servers need after an outage to write again the entries that expired in it.
	drainPeriod = 3 * time.Second
	restoreTime = 2 * time.Second
)

func server(name string, leaving bool) model.Registration {
	return model.Registration{Name: model.ServerName(name), Service: "s", Address: "a", Slots: 1, Leaving: leaving}
}

func put(d *directory.Directory, r model.Registration, revision directory.Revision) bool {
	return d.Put(directory.Entry{Registration: r, Revision: revision})
}

func names(d *directory.Directory) []string {
	var out []string
	for _, r := range d.Servers() {
		out = append(out, string(r.Name))
	}
	return out
}

var _ = Describe("Directory", func() {
	It("uses a server for a while after its entry was removed unannounced, but not for the whole drain period", func() {
		// Guards against dropping a running server because its entry expired, and against using a server that has stopped.
		d := directory.New(drainPeriod)
		put(d, server("a", false), 1)
		Expect(d.RemoveEntry("a", start, start)).To(BeFalse())
		d.Expire(start.Add(time.Second))
		Expect(names(d)).To(ConsistOf("a"))
		Expect(d.Expire(start.Add(drainPeriod - 500*time.Millisecond))).To(ConsistOf(model.ServerName("a")))
		Expect(names(d)).To(BeEmpty())
	})

	It("uses a server at most for the drain period after its entry was last seen, even if the removal is reported late", func() {
		// Guards against adding the delay of a daemon that gets store changes from other daemons to the grace period.
		d := directory.New(drainPeriod)
		put(d, server("a", false), 1)
		Expect(d.RemoveEntry("a", start, start.Add(2*time.Second))).To(BeFalse())
		Expect(d.Expire(start.Add(drainPeriod - 300*time.Millisecond))).To(ConsistOf(model.ServerName("a")))
	})

	DescribeTable("does not use a server because of an entry that lacks the start that the server had stated",
		func(leave func(d *directory.Directory)) {
			// Guards against an entry of another writer that brings a server back that is gone, or clears its leaving mark.
			d := directory.New(drainPeriod)
			stated := server("a", false)
			stated.Started = 1
			put(d, stated, 1)
			d.MarkLeaving(model.LeavingServer{Server: "a", Started: 1}, start)
			leave(d)
			put(d, server("a", false), 5)
			Expect(names(d)).To(BeEmpty())
			put(d, stated, 6)
			Expect(d.Servers()[0].Leaving).To(BeTrue())
			other := stated
			other.Started = 2
			put(d, other, 7)
			Expect(d.Servers()[0].Leaving).To(BeFalse())
		},
		Entry("while its own entry is there", func(*directory.Directory) {}),
		Entry("after its own entry was removed", func(d *directory.Directory) { d.RemoveEntry("a", start, start) }),
		Entry("after another odd entry", func(d *directory.Directory) { d.DropServer("a") }),
		Entry("after its time has passed", func(d *directory.Directory) {
			d.RemoveEntry("a", start, start)
			d.Expire(start.Add(drainPeriod))
		}),
	)

	It("remembers a dropped server for a while only", func() {
		// Guards against memory that grows with each server that was ever used, and against a name that can never be used again.
		d := directory.New(drainPeriod)
		stated := server("a", false)
		stated.Started = 1
		put(d, stated, 1)
		d.DropServer("a")
		d.Expire(start)
		d.Expire(start.Add(time.Hour))
		put(d, server("a", false), 5)
		Expect(names(d)).To(ConsistOf("a"))
	})

	It("immediately drops a server that announced that it leaves", func() {
		// Guards against requests to a server that has shut down as announced.
		d := directory.New(drainPeriod)
		put(d, server("a", true), 1)
		Expect(d.RemoveEntry("a", start, start)).To(BeTrue())
		Expect(names(d)).To(BeEmpty())
	})

	It("keeps servers whose entries expired in a store outage until they had time to write them again", func() {
		// Guards against a daemon without any servers right after a store outage.
		d := directory.New(drainPeriod)
		put(d, server("a", false), 1)
		put(d, server("b", false), 2)
		d.StoreRestored(start)
		d.RemoveEntry("a", start, start)
		d.RemoveEntry("b", start, start)
		d.Expire(start.Add(restoreTime))
		Expect(names(d)).To(ConsistOf("a", "b"))
		put(d, server("a", false), 9)
		d.Expire(start.Add(drainPeriod))
		Expect(names(d)).To(ConsistOf("a"))
	})

	It("ignores an entry that is older than the known one", func() {
		// Guards against a stale read that puts a leaving server back in service.
		d := directory.New(drainPeriod)
		put(d, server("a", true), 5)
		Expect(put(d, server("a", false), 4)).To(BeFalse())
		Expect(d.Servers()[0].Leaving).To(BeTrue())
	})

	It("keeps a server marked as leaving against entries that say otherwise, until another run registers", func() {
		// Guards against requests to a server that said that it leaves, after its entry expired and was written again.
		d := directory.New(drainPeriod)
		first := server("a", false)
		first.Started = 1
		put(d, first, 1)
		Expect(d.MarkLeaving(model.LeavingServer{Server: "a", Started: 1}, start)).To(BeTrue())
		Expect(d.MarkLeaving(model.LeavingServer{Server: "a", Started: 1}, start)).To(BeFalse())
		Expect(d.Servers()[0].Leaving).To(BeTrue())
		put(d, first, 2)
		Expect(d.Servers()[0].Leaving).To(BeTrue())
		Expect(d.RemoveEntry("a", start, start)).To(BeTrue())
		d.Expire(start.Add(time.Minute))
		put(d, first, 3)
		Expect(d.Servers()[0].Leaving).To(BeTrue())
		second := first
		second.Started = 2
		put(d, second, 4)
		Expect(d.Servers()[0].Leaving).To(BeFalse())
		Expect(d.MarkLeaving(model.LeavingServer{Server: "a", Started: 1}, start)).To(BeFalse())
		Expect(d.Servers()[0].Leaving).To(BeFalse())
	})

	It("passes on each leaving mark, in parts of limited size", func() {
		// Guards against marks that never reach a daemon because others fill the message.
		d := directory.New(drainPeriod)
		for i := range 5 {
			d.MarkLeaving(model.LeavingServer{Server: model.ServerName(fmt.Sprint(i))}, start)
		}
		var got []model.LeavingServer
		after := directory.LeavingSequence(0)
		for range 3 {
			part, upTo := d.LeavingAfter(after, 2)
			Expect(len(part)).To(BeNumerically("<=", 2))
			got, after = append(got, part...), upTo
		}
		Expect(got).To(HaveLen(5))
		part, upTo := d.LeavingAfter(after, 2)
		Expect(part).To(BeEmpty())
		Expect(upTo).To(Equal(after))
	})

	It("forgets the leaving mark of a server that has had no entry for long", func() {
		// Guards against marks that accumulate while servers are replaced.
		d := directory.New(drainPeriod)
		d.MarkLeaving(model.LeavingServer{Server: "a"}, start)
		d.Expire(start.Add(time.Hour))
		part, _ := d.LeavingAfter(0, 2)
		Expect(part).To(BeEmpty())
	})

	It("drops a server whose key no longer holds a valid entry", func() {
		// Guards against using the last valid entry after it was overwritten.
		d := directory.New(drainPeriod)
		put(d, server("a", false), 1)
		Expect(d.DropServer("a")).To(BeTrue())
		Expect(d.DropServer("a")).To(BeFalse())
	})

	It("never uses a server beyond the drain period after its entry was removed, and never drops one with an entry", func() {
		// Guards against orders of writes, removals and outages that keep using a removed server or drop a registered one.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := directory.New(drainPeriod)
			now := start
			revision := directory.Revision(1)
			present := map[string]bool{}
			removed := map[string]time.Time{}
			restored := start.Add(-time.Hour)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				revision++
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0, 1:
					put(d, server(name, rapid.Bool().Draw(t, "leaving")), revision)
					present[name] = true
					delete(removed, name)
				case 2:
					d.RemoveEntry(model.ServerName(name), now, now)
					if present[name] {
						removed[name] = now
					}
					present[name] = false
				case 3:
					d.StoreRestored(now)
					restored = now
				}
				d.Expire(now)
				used := map[string]bool{}
				for _, n := range names(d) {
					used[n] = true
				}
				for n, registered := range present {
					if registered && !used[n] {
						t.Fatalf("server %s is registered but not used", n)
					}
					latest := removed[n].Add(drainPeriod)
					if afterOutage := restored.Add(drainPeriod); afterOutage.After(latest) &&
						restored.Before(removed[n].Add(time.Millisecond)) {
						latest = afterOutage
					}
					if !registered && used[n] && now.After(latest) {
						t.Fatalf("server %s is used %s after its entry was removed", n, now.Sub(removed[n]))
					}
				}
			}
		})
	})
})
