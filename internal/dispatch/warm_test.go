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

var _ = Describe("opening connections to a joining server", func() {
	// Guards against warming that repeats itself as long as servers answer at once, which held up the adoption of a
	// configuration for 40 s.
	It("opens no more connections than the budget, however fast they open", func() {
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
