package ownership_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestOwnership(t *testing.T) { suite.Run(t, "./internal/decision/ownership") }

func members(n int) []model.Member {
	out := make([]model.Member, n)
	for i := range out {
		out[i].Instance = model.InstanceID(fmt.Sprintf("entry-%03d", i))
	}
	return out
}

var _ = Describe("Owner", func() {
	const servers = 3650

	It("distributes the servers of a zone evenly over its daemons", func() {
		// Guards against a daemon that owns three times the mean number of servers.
		all := members(280)
		counts := make([]int, len(all))
		for s := range servers {
			counts[ownership.Owner(model.ServerName(fmt.Sprint("server-", s)), all)]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 3*servers/len(all)))
		}
	})

	It("changes the owner only of the servers of a daemon that leaves", func() {
		// Guards against changed connections in the whole fleet when a single instance is replaced.
		before := members(8)
		after := append(append([]model.Member{}, before[:3]...), before[4:]...)
		for s := range servers {
			name := model.ServerName(fmt.Sprint("server-", s))
			owner := before[ownership.Owner(name, before)].Instance
			if owner != before[3].Instance {
				Expect(after[ownership.Owner(name, after)].Instance).To(Equal(owner))
			}
		}
	})

	It("returns -1 without members", func() {
		// Guards against an index out of range in a zone without daemons.
		Expect(ownership.Owner("server", nil)).To(Equal(-1))
	})
})
