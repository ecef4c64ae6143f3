package measure

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestMeasure(t *testing.T) { suite.Run(t, "./internal/measure") }

var _ = Describe("rows and bounds", func() {
	// Guards against rows that depend on the order of the rounds.
	DescribeTable("median", func(values []float64, want float64) { Expect(median(values)).To(Equal(want)) },
		Entry("none", nil, 0.0),
		Entry("odd, unsorted", []float64{9, 1, 5}, 5.0),
		Entry("even", []float64{4, 1, 3, 2}, 2.5),
	)

	// Guards against propagation times of which only one round is reported.
	It("computes propagation times over all rounds and daemons", func() {
		first, second := &round{}, &round{}
		for i := range 150 {
			first.propagationTimes = append(first.propagationTimes, time.Duration(i)*time.Millisecond)
		}
		second.propagationTimes = []time.Duration{9 * time.Second}
		p99, longest := propagationMs([]*round{first, second})
		Expect([]float64{p99, longest}).To(Equal([]float64{149, 9000}))
	})

	// Guards against load that is a fraction of a capacity which the smallest shard does not have.
	It("computes the capacity from the shard with the fewest slots", func() {
		shard := func(slots ...int) model.ShardSpec {
			var sh model.ShardSpec
			for _, n := range slots {
				sh.Servers = append(sh.Servers, model.ServerSpec{Slots: n})
			}
			return sh
		}
		svc := &model.ServiceSpec{Shards: []model.ShardSpec{shard(2, 2), shard(2, 1), shard(4)}}
		Expect(capacity(svc, 0.02)).To(BeNumerically("~", 150, 1e-9))
	})

	// Guards against a bound that is reported as met although the row that it compares with was not measured.
	It("evaluates a relative bound only if the other row was measured", func() {
		bound := relativeP99Bound("x", 1.3, steadyRows)
		own := map[rowRank]*Row{urgent: {P99: 130}}
		Expect(bound.result(&comparison{own: own}).Holds).To(Equal(notEvaluated))
		steady := map[rowRank]*Row{urgent: {P99: 100}}
		Expect(bound.result(&comparison{own: own, steady: steady}).Holds).To(Equal(holdsYes))
		own[urgent].P99 = 131
		Expect(bound.result(&comparison{own: own, steady: steady}).Holds).To(Equal(holdsNo))
	})

	// Guards against a bound that fails a rank for requests that its callers never sent.
	It("requires no more than the offered load if that is less than the minimum share", func() {
		bound := minShareBound("x", standard, 0.95)
		b := &comparison{capacity: 200, rules: model.Rules{Ranks: []model.RankRule{{Rank: "standard", MinShare: 0.5}}}}
		b.own = map[rowRank]*Row{standard: {OfferedRate: 40, Offered: 400, Complete: 381}}
		r := bound.result(b)
		Expect(r.Limit).To(BeNumerically("~", 38, 1e-9))
		Expect(r.Holds).To(Equal(holdsYes))
	})

	// Guards against two faults at a load that is too high for one of them.
	It("combines two scenarios at the lower load, unless one is a flood", func() {
		two, err := FindScenario("straggler+version-roll", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(two.Load).To(Equal(serverLossLoad))
		Expect(two.Faults).To(HaveLen(2))
		two, err = FindScenario("flood-low+replica-loss", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(two.Load[model.RankDeferred]).To(Equal(float64(floodFactor)))
		Expect(two.Load[model.RankUrgent]).To(Equal(serverLossLoad[model.RankUrgent]))
		_, err = FindScenario("none", 1)
		Expect(err).To(MatchError(ErrUsage))
	})
})
