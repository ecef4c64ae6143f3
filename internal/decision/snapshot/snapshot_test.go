package snapshot_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/snapshot"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestSnapshot(t *testing.T) { suite.Run(t, "./internal/decision/snapshot") }

type versions = []model.IndexVersion

var _ = Describe("Choose", func() {
	DescribeTable("takes the version that can reach most coverage and asks only the shards that differ",
		func(shards []snapshot.ShardVersions, version int, reask []int) {
			for i := range shards {
				shards[i].Fraction = 0.25
			}
			plan, ok := snapshot.Choose(shards)
			Expect(ok).To(BeTrue())
			Expect(plan.Version).To(Equal(model.IndexVersion(version)))
			Expect(plan.Requery).To(Equal(reask))
		},
		Entry("all agree", []snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{1}}}, 1, nil),
		Entry("one is ahead and keeps the old version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{1}}, {Answered: versions{2}, Held: versions{1, 2}}},
			1, []int{2}),
		Entry("most are ahead and dropped the old version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{2}}, {Answered: versions{2}}}, 2, nil),
		Entry("a tie takes the newer version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{2}}}, 2, nil),
		Entry("a missing shard changes nothing", []snapshot.ShardVersions{{}, {Answered: versions{3}}}, 3, nil),
	)

	It("has no version without an answer", func() {
		_, ok := snapshot.Choose([]snapshot.ShardVersions{{Held: versions{1}}})
		Expect(ok).To(BeFalse())
	})

	It("reaches at least the coverage of any single version in hand", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			shards := make([]snapshot.ShardVersions, rapid.IntRange(1, 10).Draw(t, "shards"))
			for i := range shards {
				shards[i].Fraction = 1 / float64(len(shards))
				for v := model.IndexVersion(1); v <= 3; v++ {
					if rapid.Bool().Draw(t, "answered") {
						shards[i].Answered = append(shards[i].Answered, v)
					}
				}
			}
			settled, ok := snapshot.ChooseAnswered(shards)
			for v := model.IndexVersion(1); v <= 3; v++ {
				if ok && count(shards, v) > count(shards, settled) {
					t.Fatalf("settled on version %d although %d covers more", settled, v)
				}
			}
		})
	})
})

var _ = DescribeTable("Tally",
	func(held []versions, common int) {
		var t snapshot.VersionCounter
		for _, h := range held {
			t.Add(h)
		}
		Expect(t.NewestCommon()).To(Equal(model.IndexVersion(common)))
	},
	Entry("the newest version that all hold", []versions{{1, 2}, {2, 1}, {1}}, 1),
	Entry("all have moved on", []versions{{1, 2}, {2, 1}, {2}}, 2),
	Entry("servers that said nothing do not count", []versions{{3}, nil}, 3),
	Entry("none in common", []versions{{1}, {2}}, 0),
	Entry("nothing known", nil, 0),
)

func count(shards []snapshot.ShardVersions, v model.IndexVersion) int {
	n := 0
	for _, s := range shards {
		if slices.Contains(s.Answered, v) {
			n++
		}
	}
	return n
}
