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
	It("reports the start and the end of an ejection once", func() {
		// Guards against ejections that are reported with each attempt, or not at all.
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
		transitions := []tables.EjectionChange{}
		for _, c := range changes {
			if c != tables.EjectionUnchanged {
				transitions = append(transitions, c)
			}
		}
		Expect(transitions).To(Equal([]tables.EjectionChange{tables.EjectionBegan, tables.EjectionEnded}))
	})

	It("counts the time that replies wait for others in the hedge delay, but not in the server's latency", func() {
		// Guards against nearby servers that seem as slow as distant ones, and against hedges for replies that are already on
		// their way.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		s.Observe(tables.Observation{
			Status: backend.StatusOK, Latency: 20 * time.Millisecond, Delayed: 6 * time.Millisecond, Quantile: 0.95,
		}, time.Now())
		var c routing.Candidate
		s.FillCandidate(&c, time.Now())
		Expect(c.Latency).To(Equal(20 * time.Millisecond))
		Expect(s.HedgeDelay()).To(Equal(26 * time.Millisecond))
	})

	It("ejects a server that does not answer, although each attempt is cancelled", func() {
		// Guards against a silent server that is never ejected because hedges to other servers answer in its place.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		for range 3 {
			s.Observe(tables.Observation{
				Status: backend.StatusCancelled, Latency: 250 * time.Millisecond, MayEject: true,
			}, time.Now())
		}
		Expect(s.Status().State).To(Equal(tables.ServerEjected))
	})

	It("does not eject a server whose attempts are cancelled early", func() {
		// Guards against ejections caused by callers that disconnect or by hedges that were faster.
		s := tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{}}, nil, 4, time.Time{})
		for range 10 {
			s.Observe(tables.Observation{
				Status: backend.StatusCancelled, Latency: 60 * time.Millisecond, MayEject: true,
			}, time.Now())
		}
		Expect(s.Status().State).To(Equal(tables.ServerOrdinary))
	})
})
