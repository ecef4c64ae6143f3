package document_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
)

func pairService(name string, addresses ...string) model.ServiceSpec {
	svc := model.ServiceSpec{Name: model.ServiceName(name), ShardMapEpoch: 1}
	sh := model.ShardSpec{Name: "all", KeyTo: model.KeySpace}
	for _, address := range addresses {
		sh.Servers = append(sh.Servers, model.ServerSpec{
			Name: model.ServerName(name + "-" + string(rune('1'+len(sh.Servers)))), Address: address, Zone: "z", Slots: 1, Connections: 1,
		})
	}
	svc.Shards = []model.ShardSpec{sh}
	return svc
}

// replace puts another service in the place of the inventory's first one; the second one stays shared.
func replace(edit func(*model.ServerSpec)) func(*model.Inventory) {
	return func(inv *model.Inventory) {
		svc := pairService("a", "10.0.0.1:1", "10.0.0.2:1")
		edit(&svc.Shards[0].Servers[1])
		inv.Services[0] = svc
	}
}

var _ = Describe("validating on a valid inventory", func() {
	valid := model.Inventory{
		MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
		Services: []model.ServiceSpec{pairService("a", "10.0.0.1:1", "10.0.0.2:1"), pairService("b", "[fd00::1]:1", "10.0.0.4:1")},
	}

	// Guards against a configuration that is accepted because its fault lies between a changed service and an unchanged one,
	// or in what all services have in common.
	DescribeTable("finds what validating the whole finds",
		func(edit func(*model.Inventory), problems int) {
			Expect(document.ValidateInventory(valid)).To(BeEmpty())
			next := valid
			next.Services = slices.Clone(valid.Services)
			next.Zones = slices.Clone(valid.Zones)
			edit(&next)
			rules, _ := document.DecodeRules("r", []byte(rulesYAML))
			got := document.ValidateIncremental(&valid, next, rules)
			Expect(got).To(Equal(document.Validate(next, rules)))
			Expect(got).To(HaveLen(problems))
		},
		Entry("no edit", func(*model.Inventory) {}, 0),
		Entry("a server moves", replace(func(s *model.ServerSpec) { s.Address = "10.0.0.9:1" }), 0),
		Entry("a server's name is in an unchanged service", replace(func(s *model.ServerSpec) { s.Name = "b-2" }), 1),
		Entry("a server's address is in an unchanged service, written in another way",
			replace(func(s *model.ServerSpec) { s.Address = "[fd00:0::1]:1" }), 1),
		Entry("a server's address is in its own service", replace(func(s *model.ServerSpec) { s.Address = "10.0.0.1:1" }), 1),
		Entry("a server's zone does not exist", replace(func(s *model.ServerSpec) { s.Zone = "y" }), 1),
		Entry("the zone of unchanged services goes", func(inv *model.Inventory) { inv.Zones[0].Name = "y" }, 4),
		Entry("an unchanged service is named twice", func(inv *model.Inventory) {
			inv.Services = append(inv.Services, inv.Services[1])
		}, 5),
		Entry("an unchanged service gets another's name", func(inv *model.Inventory) { inv.Services[1].Name = "a" }, 1),
		Entry("an unchanged service gets an invalid epoch", func(inv *model.Inventory) { inv.Services[1].ShardMapEpoch = 0 }, 1),
		Entry("a limit is out of range", func(inv *model.Inventory) { inv.MaxInstances = 0 }, 1),
		Entry("all services go", func(inv *model.Inventory) { inv.Services = nil }, 1),
	)

	It("finds problems of the rules", func() {
		Expect(document.ValidateIncremental(&valid, valid, model.Rules{})).To(Equal(document.Validate(valid, model.Rules{})))
	})
})
