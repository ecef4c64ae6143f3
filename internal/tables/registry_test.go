package tables_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

var _ = Describe("Registry", func() {
	var t *tables.Registry
	BeforeEach(func() { t = tables.NewRegistry(time.Second) })

	It("does not count a verification for a routing configuration that it replaces", func() {
		// Guards against a removed key that is served with the old configuration in the moment before the new one is in force.
		first := model.NewRouting(1, nil, nil, model.CallerLimits{})
		second := model.NewRouting(2, nil, nil, model.CallerLimits{})
		t.Apply(&registry.Update{Revision: 1, Routing: first, VerifiedAt: 10}, time.Now(), time.Now())
		t.RoutingInstalled(first)
		t.Apply(&registry.Update{Revision: 2, Routing: second, VerifiedAt: 20}, time.Now(), time.Now())
		t.RoutingInstalled(first)
		Expect(t.PositionInForce().VerifiedAt).To(Equal(boottime.Time(10)))
		t.RoutingInstalled(second)
		Expect(t.PositionInForce().VerifiedAt).To(Equal(boottime.Time(20)))
	})

	It("ends the evacuations that a complete update does not list", func() {
		// Guards against a zone that stays evacuated because its key was deleted while the daemon had no contact.
		evacuated := []registry.Evacuation{{Zone: "z", Active: true}}
		t.Apply(&registry.Update{Revision: 1, Evacuations: evacuated}, time.Now(), time.Now())
		Expect(t.View().Evacuated).To(HaveKey(model.AvailabilityZone("z")))
		c := t.Apply(&registry.Update{Revision: 5, Complete: true}, time.Now(), time.Now())
		Expect(c.Evacuations).To(ConsistOf(registry.Evacuation{Zone: "z"}))
		Expect(t.View().Evacuated).To(BeEmpty())
	})
})
