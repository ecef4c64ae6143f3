package cli_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

var _ = Describe("two operators at two daemons", func() {
	// Guards against two edits of the same revision that both succeed or both fail, which could happen if the reply to a
	// write that the store applied is lost. The exit codes are checked because scripts act on them.
	It("get one success and one conflict in each of 20 races while the store's replies to writes are lost", func() {
		store := platformserver.New()
		platform := httptest.NewServer(store)
		DeferCleanup(platform.Close)
		editors := []*session{startDaemon("i1", platform.URL), startDaemon("i2", platform.URL)}
		code, _ := editors[0].run(joinArgs("apply -expect 0 -reason first", documentFlags("inventory.yaml"))...)
		Expect(code).To(Equal(cli.ExitOK))
		store.SetFaults(platformserver.Faults{LostReplies: 1})
		for round := range 20 {
			codes := make([]int, len(editors))
			var wg sync.WaitGroup
			for i, s := range editors {
				s.env["USER"] = fmt.Sprintf("editor%d", i)
				slots := fmt.Sprintf("slots: %d", 3+2*round+i)
				s.write("race.yaml", strings.Replace(inventoryDoc, "slots: 2", slots, 1))
				args := fmt.Sprintf("apply -reason race -expect %d", round+1)
				wg.Go(func() { codes[i], _ = s.run(joinArgs(args, documentFlags("race.yaml"))...) })
			}
			wg.Wait()
			Expect(codes).To(ConsistOf(cli.ExitOK, cli.ExitConflict), "round %d\n%s\n%s", round,
				&editors[0].transcript, &editors[1].transcript)
		}
		store.SetFaults(platformserver.Faults{})
		_, auditTrail := editors[1].run("audit", "-limit", "100")
		Expect(strings.Count(auditTrail, "race")).To(Equal(20))
	})
})
