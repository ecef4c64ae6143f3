package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/status"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// search sends a query to a daemon and returns its outcome.
func search(d *daemon.Daemon) string {
	req, _ := http.NewRequest(http.MethodPost, "http://"+d.CallerAddress()+"/v1/services/search/query",
		bytes.NewBufferString(`{"text":"x","limit":3}`))
	req.Header.Set("X-Caller", "c")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	return resp.Header.Get("X-Outcome")
}

var _ = Describe("two daemons of one zone", func() {
	// Guards against a daemon that ends before the sub-requests that it sends for another one (G3, G7). Each of the two is
	// stopped, so that one of them owns the server.
	DescribeTable("answer whole when the one that is stopped was sending for the other",
		func(stopped, asked int) {
			p := platformserver.New()
			endpoint, err := p.Listen(loopback, "")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(endpoint.Shut)
			server := backendserver.New(backendserver.Config{
				Shard: "s0", Epoch: 1, Version: 1, Slots: 4, ServiceTime: 500 * time.Millisecond, Items: 3,
			})
			backend := netfault.NewEndpoint(server, netfault.Config{})
			Expect(backend.Open(loopback)).To(Succeed())
			DeferCleanup(backend.Shut)
			change := configuration(backend.Address())
			change.Inventory.MaxInstances = 2
			c := configure.Configurer{Store: p.Data(), Now: time.Now}
			Expect(c.Apply(context.Background(), change).Verdict).To(Equal(configure.Accepted))
			daemons, stops := make([]*daemon.Daemon, 2), make([]func(), 2)
			for i, name := range []model.InstanceID{"entry-0", "entry-1"} {
				s := settings.Defaults()
				s.Instance, s.Zone, s.Region = name, "a", "r"
				s.CallerAddress, s.OperatorAddress, s.PeerAddress = loopback, loopback, loopback
				s.PlatformAddress, s.WorkersPerRank = endpoint.Address(), 4
				if i > 0 {
					s.Peers = []string{daemons[0].PeerAddress()}
				}
				daemons[i], err = daemon.Start(s, zerolog.Nop())
				Expect(err).NotTo(HaveOccurred())
				stops[i] = sync.OnceFunc(daemons[i].Stop)
				DeferCleanup(stops[i])
			}
			for _, d := range daemons {
				Eventually(readiness(d), within).Should(Equal(http.StatusOK))
				Eventually(func() int {
					var st status.Status
					_, body := get(d.OperatorAddress(), "/v1/status")
					Expect(json.Unmarshal([]byte(body), &st)).To(Succeed())
					return st.Members.Alive
				}, within).Should(Equal(1))
			}
			// The table of owners follows the members each second. Nothing outside the daemons shows it.
			time.Sleep(3 * time.Second)
			started := func() int { return server.Record().Counts().Started }
			before := started()
			answer := make(chan string, 1)
			go func() { answer <- search(daemons[asked]) }()
			Eventually(started, within).Should(Equal(before + 1))
			stops[stopped]()
			Eventually(answer, 2*time.Second).Should(Receive(Equal("complete")))
			Expect(started()).To(Equal(before+1), "no sub-request was sent again")
		},
		Entry("the first", 0, 1),
		Entry("the second", 1, 0),
	)
})
