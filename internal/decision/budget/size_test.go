package budget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/budget"
)

var _ = Describe("Size", func() {
	It("grows at once, and shrinks only when the fleet stays smaller", func() {
		// Guards against daemons that each take the whole budget after an outage in which the entries of all lapsed.
		s := budget.NewFleetSize(4)
		s.Observe(8, start)
		Expect(s.At(start)).To(Equal(8))
		s.Observe(1, start)
		s.Observe(7, start.Add(10*time.Second))
		s.Observe(6, start.Add(12*time.Second))
		Expect(s.At(start.Add(19 * time.Second))).To(Equal(8))
		Expect(s.At(start.Add(21 * time.Second))).To(Equal(7))
	})

	It("forgets a loss that was made up for", func() {
		s := budget.NewFleetSize(8)
		s.Observe(8, start)
		s.Observe(2, start)
		s.Observe(8, start.Add(time.Second))
		Expect(s.At(start.Add(time.Minute))).To(Equal(8))
	})

	It("holds the size that was assumed until all daemons that started together are known", func() {
		s := budget.NewFleetSize(16)
		s.Observe(1, start)
		Expect(s.At(start.Add(time.Second))).To(Equal(16))
		s.Observe(8, start.Add(2*time.Second))
		Expect(s.At(start.Add(4 * time.Second))).To(Equal(8))
	})
})
