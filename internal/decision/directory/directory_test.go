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
	// drainBound is the time after which a server that is gone gets no request, and lapseBound the time in which entries that
	// lapsed in an outage are back.
	drainBound = 3 * time.Second
	lapseBound = 2 * time.Second
)

func server(name string, leaving bool) model.Registration {
	return model.Registration{Name: model.ServerName(name), Service: "s", Address: "a", Slots: 1, Leaving: leaving}
}

func names(d *directory.Directory) []string {
	var out []string
	for _, r := range d.Servers() {
		out = append(out, string(r.Name))
	}
	return out
}

var _ = Describe("Directory", func() {
	It("uses a server whose entry vanished without notice for a while, within the bound", func() {
		d := directory.New(drainBound)
		d.Put(server("a", false), 1)
		Expect(d.RemoveEntry("a", start, start)).To(BeFalse())
		d.Expire(start.Add(time.Second))
		Expect(names(d)).To(ConsistOf("a"))
		Expect(d.Expire(start.Add(drainBound - 500*time.Millisecond))).To(ConsistOf(model.ServerName("a")))
		Expect(names(d)).To(BeEmpty())
	})

	It("uses a server whose entry vanished no longer than the bound, however late the news comes", func() {
		// Guards against the delay of a daemon that hears of the store from others, which adds to the time of use.
		d := directory.New(drainBound)
		d.Put(server("a", false), 1)
		Expect(d.RemoveEntry("a", start, start.Add(2*time.Second))).To(BeFalse())
		Expect(d.Expire(start.Add(drainBound - 300*time.Millisecond))).To(ConsistOf(model.ServerName("a")))
	})

	It("drops a server that had said that it leaves at once", func() {
		d := directory.New(drainBound)
		d.Put(server("a", true), 1)
		Expect(d.RemoveEntry("a", start, start)).To(BeTrue())
		Expect(names(d)).To(BeEmpty())
	})

	It("keeps servers whose entries lapsed in an outage until they had the time to come back", func() {
		// Guards against a daemon without servers right after an outage of the store.
		d := directory.New(drainBound)
		d.Put(server("a", false), 1)
		d.Put(server("b", false), 2)
		d.StoreRestored(start)
		d.RemoveEntry("a", start, start)
		d.RemoveEntry("b", start, start)
		d.Expire(start.Add(lapseBound))
		Expect(names(d)).To(ConsistOf("a", "b"))
		d.Put(server("a", false), 9)
		d.Expire(start.Add(drainBound))
		Expect(names(d)).To(ConsistOf("a"))
	})

	It("takes no entry that is older than the one known", func() {
		d := directory.New(drainBound)
		d.Put(server("a", true), 5)
		Expect(d.Put(server("a", false), 4)).To(BeFalse())
		Expect(d.Servers()[0].Leaving).To(BeTrue())
	})

	It("drops a server whose key holds no entry any more", func() {
		d := directory.New(drainBound)
		d.Put(server("a", false), 1)
		Expect(d.DropServer("a")).To(BeTrue())
		Expect(d.DropServer("a")).To(BeFalse())
	})

	It("never uses a server beyond the bound after its entry vanished, and never drops one that is there", func() {
		// Guards against any order of entries, lapses and outages that leaves a gone server in use or takes a live one out.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := directory.New(drainBound)
			now := start
			revision := directory.Revision(1)
			present := map[string]bool{}
			gone := map[string]time.Time{}
			restored := start.Add(-time.Hour)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				revision++
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0, 1:
					d.Put(server(name, rapid.Bool().Draw(t, "leaving")), revision)
					present[name] = true
					delete(gone, name)
				case 2:
					d.RemoveEntry(model.ServerName(name), now, now)
					if present[name] {
						gone[name] = now
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
				for n, there := range present {
					if there && !used[n] {
						t.Fatalf("server %s is registered and not used", n)
					}
					latest := gone[n].Add(drainBound)
					if byReturn := restored.Add(drainBound); byReturn.After(latest) && restored.Before(gone[n].Add(time.Millisecond)) {
						latest = byReturn
					}
					if !there && used[n] && now.After(latest) {
						t.Fatalf("server %s is used %s after it was gone", n, now.Sub(gone[n]))
					}
				}
			}
		})
	})
})
