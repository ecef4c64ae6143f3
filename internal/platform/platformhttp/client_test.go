package platformhttp_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPlatformHTTP(t *testing.T) { suite.Run(t, "./internal/platform/platformhttp") }

// rig is a client with its platform.
type rig struct {
	client   *platformhttp.Client
	server   *platformserver.Server
	endpoint *netfault.Endpoint
	clock    *contract.Clock
}

func openRig() *rig {
	r := &rig{clock: contract.NewClock(time.Unix(1_000_000, 0))}
	r.server = platformserver.NewWith(platformserver.Config{Now: r.clock.Now})
	var err error
	r.endpoint, err = r.server.Listen("127.0.0.1:0", "")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.endpoint.Shut)
	r.client = platformhttp.New(r.endpoint.Address())
	r.client.Identify("d1", "z1")
	DeferCleanup(r.client.Close)
	return r
}

// set puts a fault in force.
func (r *rig) set(f contract.PlatformFault) {
	var faults platformserver.Faults
	switch f {
	case contract.PlatformDown:
		faults.Down = true
	case contract.PlatformLimited:
		faults.ReadsPerSecond, faults.WritesPerSecond = 1, 1
		r.server.SetFaults(faults)
		r.spendRates()
	case contract.PlatformSilent:
		faults.CutOffZones = append(faults.CutOffZones, "z1")
	case contract.PlatformLosesReplies:
		faults.LostReplies = 1
	case contract.PlatformStale:
		faults.StaleBy, faults.ListLag = contract.StaleBy, contract.StaleBy
	case contract.PlatformRefused:
		r.endpoint.Shut()
		// A write on a pooled connection that was cut may rightly end as unknown; this case is about new connections.
		r.client.Close()
	case contract.PlatformHealthy:
		r.endpoint.Shut()
		Expect(r.endpoint.Open("")).To(Succeed())
	}
	r.server.SetFaults(faults)
}

func (r *rig) unanswered() int {
	n := 0
	for _, c := range r.server.Counts() {
		n += c.Unanswered
	}
	return n
}

// spendRates uses up the second of the clock, which stands still.
func (r *rig) spendRates() {
	_, _ = r.client.Get(GinkgoT().Context(), "any")
	_ = r.client.Delete(GinkgoT().Context(), "any", 0)
}

var _ = Describe("the platform's store over HTTP", func() {
	contract.Store(func() contract.StoreHarness {
		r := openRig()
		return contract.StoreHarness{Store: r.client, Set: r.set, Unanswered: r.unanswered, Clock: r.clock}
	})
})

var _ = Describe("the platform's instance list over HTTP", func() {
	contract.InstanceList(func() contract.InstanceListHarness {
		r := openRig()
		return contract.InstanceListHarness{
			List: r.client, Replace: r.server.SetInstances,
			Set: r.set, Unanswered: r.unanswered, Clock: r.clock,
		}
	})
})
