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

	It("spreads the servers of a zone evenly over its daemons", func() {
		all := members(280)
		counts := make([]int, len(all))
		for s := range servers {
			counts[ownership.Owner(model.ServerName(fmt.Sprint("server-", s)), all)]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 3*servers/len(all)))
		}
	})

	It("moves only the servers of a daemon that leaves", func() {
		// Guards against a fleet that reshuffles all connections when one instance is replaced.
		before := members(8)
		after := append(append([]model.Member{}, before[:3]...), before[4:]...)
		for s := range servers {
			name := model.ServerName(fmt.Sprint("server-", s))
			was := before[ownership.Owner(name, before)].Instance
			if was != before[3].Instance {
				Expect(after[ownership.Owner(name, after)].Instance).To(Equal(was))
			}
		}
	})

	It("has no owner without members", func() {
		Expect(ownership.Owner("server", nil)).To(Equal(-1))
	})
})
