package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/limit"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestLimit(t *testing.T) { suite.Run(t, "./internal/decision/limit") }

var _ = Describe("ConnectionBudget", func() {
	It("never lets the fleet exceed a server's connections, whatever daemons know about each other", func() {
		// Guards against a server that refuses connections because the budgets of all daemons exceed what it accepts.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			connections := rapid.IntRange(0, 200).Draw(t, "connections")
			daemons := rapid.IntRange(1, 6000).Draw(t, "daemons")
			holders := daemons
			if connections < daemons {
				// Only a server's owners open connections: at most four while membership views differ.
				holders = min(daemons, 4)
			}
			if limit.OwnerOnly(connections, daemons) {
				// The server has no room for daemons whose membership views differ.
				holders = min(1, connections)
			}
			if used := holders * limit.ConnectionBudget(connections, daemons); used > connections {
				t.Fatalf("%d daemons open %d of %d connections", holders, used, connections)
			}
		})
	})
	It("gives an owner connections with 5,600 daemons", func() {
		// Guards against a budget of 0 for all daemons, with which no attempt would reach the server.
		Expect(limit.ConnectionBudget(25, 5600)).To(Equal(6))
	})
	It("gives a connection to the owner of a server that accepts fewer than there may be owners", func() {
		// Guards against a budget of 0 for all daemons, with which no attempt would reach the server.
		for connections := 1; connections <= 3; connections++ {
			Expect(limit.ConnectionBudget(connections, 9)).To(Equal(1))
			Expect(limit.OwnerOnly(connections, 9)).To(BeTrue())
		}
	})
	It("leaves servers to all daemons that accept a connection of each possible owner", func() {
		// Guards against requests that are refused, or take a detour, although there are connections for this daemon.
		Expect(limit.OwnerOnly(4, 5600)).To(BeFalse())
		Expect(limit.OwnerOnly(2, 2)).To(BeFalse())
	})
	It("gives each of 9 daemons two connections to a server that accepts 25", func() {
		// Guards against the owner's share being used although there are connections for all daemons.
		Expect(limit.ConnectionBudget(25, 9)).To(Equal(2))
	})
})

var _ = Describe("Adaptive", func() {
	It("stays between 1 and the ceiling, shrinks on overload and recovers", func() {
		// Guards against a limit of 0, which would stop all attempts, and a limit that never recovers from overload.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ceiling := rapid.IntRange(1, 30).Draw(t, "ceiling")
			a := limit.NewAdaptive(ceiling, ceiling)
			for range rapid.IntRange(0, 200).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "shed") {
					a.OnOverload()
				} else {
					a.OnReply(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond, a.Limit())
				}
				if a.Limit() < 1 || a.Limit() > ceiling {
					t.Fatalf("limit %d with ceiling %d", a.Limit(), ceiling)
				}
			}
		})
		a := limit.NewAdaptive(8, 8)
		for range 5 {
			a.OnOverload()
		}
		Expect(a.Limit()).To(Equal(1))
		for range 200 {
			a.OnReply(5*time.Millisecond, a.Limit())
		}
		Expect(a.Limit()).To(Equal(8))
	})
})
