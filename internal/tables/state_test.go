package tables_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

var _ = Describe("a server record", func() {
	It("reports each step into and out of ejection once", func() {
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		now := time.Now()
		observe := func(status backend.Status) tables.EjectionChange {
			s.Observe(tables.Observation{Status: status, Latency: time.Millisecond, MayEject: true}, now)
			return s.TakeEjectionChange()
		}
		changes := []tables.EjectionChange{}
		for range 5 {
			changes = append(changes, observe(backend.StatusLost))
		}
		Expect(changes).To(ContainElement(tables.EjectionBegan))
		Expect(s.Status().State).To(Equal(tables.ServerEjected))
		changes = append(changes, observe(backend.StatusOK), observe(backend.StatusOK))
		steps := []tables.EjectionChange{}
		for _, c := range changes {
			if c != tables.EjectionSame {
				steps = append(steps, c)
			}
		}
		Expect(steps).To(Equal([]tables.EjectionChange{tables.EjectionBegan, tables.EjectionEnded}))
	})
})
