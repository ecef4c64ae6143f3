package budget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/budget"
)

var _ = Describe("FleetSize", func() {
	It("grows immediately, and shrinks only after fewer daemons were known for a while", func() {
		// Guards against daemons that each use the whole budget after a store outage in which the entries of all daemons expired.
		s := budget.NewFleetSize(4)
		s.Observe(8, start)
		Expect(s.At(start)).To(Equal(8))
		s.Observe(1, start)
		s.Observe(7, start.Add(10*time.Second))
		s.Observe(6, start.Add(12*time.Second))
		Expect(s.At(start.Add(19 * time.Second))).To(Equal(8))
		Expect(s.At(start.Add(21 * time.Second))).To(Equal(7))
	})

	It("does not shrink if all daemons are known again before the delay ends", func() {
		// Guards against a size that still shrinks after a short loss of entries.
		s := budget.NewFleetSize(8)
		s.Observe(8, start)
		s.Observe(2, start)
		s.Observe(8, start.Add(time.Second))
		Expect(s.At(start.Add(time.Minute))).To(Equal(8))
	})

	It("keeps the assumed size until all daemons that started at the same time are known", func() {
		// Guards against the first daemons of a fleet each using too large a share of the budget.
		s := budget.NewFleetSize(16)
		s.Observe(1, start)
		Expect(s.At(start.Add(time.Second))).To(Equal(16))
		s.Observe(8, start.Add(2*time.Second))
		Expect(s.At(start.Add(4 * time.Second))).To(Equal(8))
	})
})
