package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

var _ = Describe("Reach", func() {
	// self is alone in its zone; other is alone in another one, and third in a third.
	self := model.Member{Instance: "a", Zone: "z0"}
	other := model.Member{Instance: "b", Zone: "z1"}
	third := model.Member{Instance: "c", Zone: "z2"}
	all := []model.Member{self, other, third}
	var r quota.Reach
	var now time.Time

	// confirm lets the given zones confirm for d, with the members that they cannot reach.
	confirm := func(d time.Duration, confirming []model.AvailabilityZone, lost ...quota.LostMember) {
		for end := now.Add(d); now.Before(end); now = now.Add(quota.TickInterval) {
			r.Tick(now)
			for _, zone := range confirming {
				r.RecordConfirmation(zone, quota.Confirmation{Member: true, Lost: lost}, now, now)
			}
		}
	}
	both := []model.AvailabilityZone{"z1", "z2"}
	weight := func(higher ...model.Member) float64 {
		_, share, _ := r.Share(nil, higher, now)
		return share.Weight()
	}
	BeforeEach(func() {
		now = start
		r = quota.NewReach(self, now)
		r.SetMembers(all, now)
	})

	It("grants nothing until the others know the daemon", func() {
		// Guards against a second owner while the previous one has not heard of the member that joined.
		confirm(quota.JoinWait, both)
		Expect(weight()).To(BeZero())
		confirm(quota.TickInterval, both)
		Expect(weight()).To(BeNumerically("~", 1))
	})

	It("grants nothing after a pause until others have certainly stopped", func() {
		// Guards against a daemon that resumes and grants together with its successor.
		confirm(10*time.Second, both)
		now = now.Add(time.Second)
		Expect(weight()).To(BeZero())
		confirm(quota.Handover-quota.TickInterval, both)
		Expect(weight()).To(BeZero())
		confirm(2*quota.TickInterval, both)
		Expect(weight()).To(BeNumerically("~", 1))
	})

	It("does not grant the part of a zone that reaches a member which ranks higher", func() {
		// Guards against a second owner where only one daemon does not reach the first one.
		confirm(10*time.Second, both)
		Expect(weight(other)).To(BeZero())
		for range 50 {
			r.RecordProbe(other.Instance, false, now, now)
			confirm(quota.TickInterval, both)
		}
		Expect(weight(other)).To(BeNumerically("~", 1.0/3), "the part of its own zone")
		for range 50 {
			r.RecordProbe(other.Instance, false, now, now)
			confirm(quota.TickInterval, both[1:], quota.LostMember{Instance: other.Instance})
		}
		Expect(weight(other)).To(BeNumerically("~", 2.0/3), "and that of the third zone")
	})

	It("does not grant the part of a zone whose members are gone from the list while it does not confirm", func() {
		// Guards against a zone that is cut off for longer than its members' entries last, and grants its part as well.
		confirm(10*time.Second, both)
		confirm(5*time.Second, both[1:])
		r.SetMembers([]model.Member{self, third}, now)
		confirm(10*time.Second, both[1:])
		Expect(weight()).To(BeNumerically("~", 2.0/3))
	})

	It("grants the part of a zone whose members left in order", func() {
		// Guards against a quota that stays reduced after the last daemon of a zone was replaced elsewhere.
		confirm(10*time.Second, both)
		r.SetMembers([]model.Member{self, third}, now)
		confirm(10*time.Second, both[1:])
		Expect(weight()).To(BeNumerically("~", 1))
	})
})
