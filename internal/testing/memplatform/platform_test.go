package memplatform_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestMemPlatform(t *testing.T) { suite.Run(t, "./internal/testing/memplatform") }

// open returns a healthy platform, its clock and the function that sets its fault.
func open() (*memplatform.Platform, *contract.Clock, func(contract.PlatformFault)) {
	clock := contract.NewClock(time.Unix(1_000_000, 0))
	p := memplatform.New(clock.Now)
	return p, clock, func(f contract.PlatformFault) { p.SetFaults(faultsOf(f)) }
}

// faultsOf returns the faults that produce a fault of package contract. There is no network, so a refused connection and a
// rate limit are the same as an outage.
func faultsOf(f contract.PlatformFault) memplatform.Faults {
	switch f {
	case contract.PlatformDown, contract.PlatformRefused, contract.PlatformLimited:
		return memplatform.Faults{Down: true}
	case contract.PlatformSilent:
		return memplatform.Faults{Silent: true}
	case contract.PlatformLosesReplies:
		return memplatform.Faults{LostReplies: true}
	case contract.PlatformStale:
		return memplatform.Faults{StaleBy: contract.StaleBy, ListLag: contract.StaleBy}
	case contract.PlatformHealthy:
	}
	return memplatform.Faults{}
}

var _ = Describe("the in-memory store", func() {
	contract.Store(func() contract.StoreHarness {
		p, clock, setFault := open()
		return contract.StoreHarness{Store: p, SetFault: setFault, Unanswered: p.Unanswered, Clock: clock}
	})
})

var _ = Describe("the in-memory instance list", func() {
	contract.InstanceList(func() contract.InstanceListHarness {
		p, clock, setFault := open()
		return contract.InstanceListHarness{
			List: p, SetInstances: p.SetInstances, SetFault: setFault, Unanswered: p.Unanswered, Clock: clock,
		}
	})
})
