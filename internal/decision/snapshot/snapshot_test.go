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
	// Guards against an answer with fewer shards than further queries could reach, and against queries to shards that no longer
	// hold the version.
	DescribeTable("returns the version that can reach the most coverage and the shards to query again for it",
		func(shards []snapshot.ShardVersions, version int, requery []int) {
			for i := range shards {
				shards[i].Fraction = 0.25
			}
			plan, ok := snapshot.Choose(shards)
			Expect(ok).To(BeTrue())
			Expect(plan.Version).To(Equal(model.IndexVersion(version)))
			Expect(plan.Requery).To(Equal(requery))
		},
		Entry("all shards agree", []snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{1}}}, 1, nil),
		Entry("one shard is ahead and still holds the old version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{1}}, {Answered: versions{2}, Held: versions{1, 2}}},
			1, []int{2}),
		Entry("most shards are ahead and no longer hold the old version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{2}}, {Answered: versions{2}}}, 2, nil),
		Entry("a tie goes to the newer version",
			[]snapshot.ShardVersions{{Answered: versions{1}}, {Answered: versions{2}}}, 2, nil),
		Entry("a shard without a reply is ignored", []snapshot.ShardVersions{{}, {Answered: versions{3}}}, 3, nil),
	)

	It("returns false if no shard has answered", func() {
		// Guards against an answer with a version that servers hold but no shard has replied with.
		_, ok := snapshot.Choose([]snapshot.ShardVersions{{Held: versions{1}}})
		Expect(ok).To(BeFalse())
	})

	It("leaves no version with more coverage than that of ChooseAnswered", func() {
		// Guards against an answer with fewer shards than the replies received allow.
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
			chosen, ok := snapshot.ChooseAnswered(shards)
			for v := model.IndexVersion(1); v <= 3; v++ {
				if ok && count(shards, v) > count(shards, chosen) {
					t.Fatalf("version %d was chosen although version %d covers more", chosen, v)
				}
			}
		})
	})
})

// Guards against requests for a version that some server does not hold yet or no longer holds.
var _ = DescribeTable("VersionCounter",
	func(held []versions, common int) {
		var counter snapshot.VersionCounter
		for _, h := range held {
			counter.Add(h)
		}
		Expect(counter.NewestCommon()).To(Equal(model.IndexVersion(common)))
	},
	Entry("the newest version that all servers hold", []versions{{1, 2}, {2, 1}, {1}}, 1),
	Entry("all servers hold the newer version", []versions{{1, 2}, {2, 1}, {2}}, 2),
	Entry("servers without known versions are not counted", []versions{{3}, nil}, 3),
	Entry("no common version", []versions{{1}, {2}}, 0),
	Entry("no servers", nil, 0),
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
