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

// fixture is a client with the platform stand-in that it calls.
type fixture struct {
	client   *platformhttp.Client
	server   *platformserver.Server
	endpoint *netfault.Endpoint
	clock    *contract.Clock
}

func newFixture() *fixture {
	f := &fixture{clock: contract.NewClock(time.Unix(1_000_000, 0))}
	f.server = platformserver.NewWith(platformserver.Config{Now: f.clock.Now})
	var err error
	f.endpoint, err = f.server.Listen("127.0.0.1:0", "")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.endpoint.Close)
	f.client = platformhttp.New(f.endpoint.Address())
	f.client.Identify("d1", "z1")
	DeferCleanup(f.client.Close)
	return f
}

// setFault injects a fault into the platform.
func (f *fixture) setFault(fault contract.PlatformFault) {
	var faults platformserver.Faults
	switch fault {
	case contract.PlatformDown:
		faults.Down = true
	case contract.PlatformLimited:
		faults.ReadsPerSecond, faults.WritesPerSecond = 1, 1
		f.server.SetFaults(faults)
		f.exhaustRates()
	case contract.PlatformSilent:
		faults.CutOffZones = append(faults.CutOffZones, "z1")
	case contract.PlatformLosesReplies:
		faults.LostReplies = 1
	case contract.PlatformStale:
		faults.StaleBy, faults.ListLag = contract.StaleBy, contract.StaleBy
	case contract.PlatformRefused:
		f.endpoint.Close()
		// A write on a pooled connection that was cut may correctly return ErrUnknown; this case tests new connections.
		f.client.Close()
	case contract.PlatformHealthy:
		f.endpoint.Close()
		Expect(f.endpoint.Open("")).To(Succeed())
	}
	f.server.SetFaults(faults)
}

// unanswered returns the number of calls that the platform did not answer.
func (f *fixture) unanswered() int {
	n := 0
	for _, c := range f.server.Counts() {
		n += c.Unanswered
	}
	return n
}

// exhaustRates uses up the calls allowed in the current second. The clock of the test does not advance, so that further
// calls are rejected.
func (f *fixture) exhaustRates() {
	_, _ = f.client.Get(GinkgoT().Context(), "any")
	_ = f.client.Delete(GinkgoT().Context(), "any", 0)
}

var _ = Describe("the client of the platform's store", func() {
	contract.Store(func() contract.StoreHarness {
		f := newFixture()
		return contract.StoreHarness{Store: f.client, SetFault: f.setFault, Unanswered: f.unanswered, Clock: f.clock}
	})
})

var _ = Describe("the client of the platform's instance list", func() {
	contract.InstanceList(func() contract.InstanceListHarness {
		f := newFixture()
		return contract.InstanceListHarness{
			List: f.client, SetInstances: f.server.SetInstances,
			SetFault: f.setFault, Unanswered: f.unanswered, Clock: f.clock,
		}
	})
})
