package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

var _ = Describe("warming the connections to a joining server", func() {
	// Guards against warming that opens connections again and again as long as servers respond immediately. That delayed the
	// installation of a configuration by 40 s.
	It("opens only as many connections as the budget allows, even if they open immediately", func() {
		n := newNode("solo", fakebackend.Script{})
		DeferCleanup(n.Close)
		const servers, budget = 100, 3
		for i := range servers {
			spec := &model.Server{ServerSpec: &model.ServerSpec{Name: model.ServerName(fmt.Sprintf("joining-%d", i)), Slots: 1}}
			n.Warm(tables.NewServer(spec, n.connector.Connect(spec, budget), budget, time.Now()))
		}
		for i := range servers {
			warmed := func() int { return n.connector.Warmed(model.ServerName(fmt.Sprintf("joining-%d", i))) }
			Eventually(warmed).WithTimeout(5 * time.Second).Should(Equal(budget))
		}
	})
})
