package tables_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/routing"
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
			if c != tables.EjectionUnchanged {
				steps = append(steps, c)
			}
		}
		Expect(steps).To(Equal([]tables.EjectionChange{tables.EjectionBegan, tables.EjectionEnded}))
	})

	It("counts the time that replies wait for others for hedges, and not for the server", func() {
		// Guards against near servers that seem as slow as distant ones, and against hedges of replies that are on their way.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		s.Observe(tables.Observation{
			Status: backend.StatusOK, Latency: 20 * time.Millisecond, Delayed: 6 * time.Millisecond, Quantile: 0.95,
		}, time.Now())
		var c routing.Candidate
		s.FillCandidate(&c, time.Now())
		Expect(c.Latency).To(Equal(20 * time.Millisecond))
		Expect(s.HedgeDelay()).To(Equal(26 * time.Millisecond))
	})

	It("ejects a server that answers nothing although each attempt is cancelled", func() {
		// Guards against a silent server that is asked for ever, since hedges answer in its place.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		for range 3 {
			s.Observe(tables.Observation{
				Status: backend.StatusCancelled, Latency: 250 * time.Millisecond, MayEject: true,
			}, time.Now())
		}
		Expect(s.Status().State).To(Equal(tables.ServerEjected))
	})

	It("keeps a server whose attempts were cancelled soon", func() {
		// Guards against callers who leave, or hedges that were faster, counting against a server.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		for range 10 {
			s.Observe(tables.Observation{
				Status: backend.StatusCancelled, Latency: 60 * time.Millisecond, MayEject: true,
			}, time.Now())
		}
		Expect(s.Status().State).To(Equal(tables.ServerOrdinary))
	})
})
