package budget_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/budget"
)

var _ = It("UnsentAttempts waives three attempts", func() {
	// Guards against a request that is passed from one full server to the next without an end.
	var u budget.UnsentAttempts
	for range 3 {
		Expect(u.Waive()).To(BeTrue())
	}
	Expect(u.Waive()).To(BeFalse())
	Expect(u).To(BeEquivalentTo(3))
})
