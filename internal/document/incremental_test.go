package document_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
)

// newService returns a service with one shard, which has a server at each address.
func newService(name string, addresses ...string) model.ServiceSpec {
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

// editFirst returns a function that replaces the inventory's first service with an edited one. The second service stays the
// same.
func editFirst(edit func(*model.ServerSpec)) func(*model.Inventory) {
	return func(inv *model.Inventory) {
		svc := newService("a", "10.0.0.1:1", "10.0.0.2:1")
		edit(&svc.Shards[0].Servers[1])
		inv.Services[0] = svc
	}
}

var _ = Describe("incremental validation", func() {
	valid := model.Inventory{
		MaxInstances: 1, Zones: []model.ZoneSpec{{Name: "z", Region: "r"}},
		Services: []model.ServiceSpec{newService("a", "10.0.0.1:1", "10.0.0.2:1"), newService("b", "[fd00::1]:1", "10.0.0.4:1")},
	}

	// Guards against accepting a configuration in which a changed service conflicts with an unchanged one, or whose zones or
	// limits are invalid.
	DescribeTable("returns the problems that full validation returns",
		func(edit func(*model.Inventory), wantCount int) {
			Expect(document.ValidateInventory(valid)).To(BeEmpty())
			next := valid
			next.Services = slices.Clone(valid.Services)
			next.Zones = slices.Clone(valid.Zones)
			edit(&next)
			rules, _ := document.DecodeRules("r", []byte(rulesYAML))
			got := document.ValidateIncremental(&valid, next, rules)
			Expect(got).To(Equal(document.Validate(next, rules)))
			Expect(got).To(HaveLen(wantCount))
		},
		Entry("no edit", func(*model.Inventory) {}, 0),
		Entry("a server's address changes", editFirst(func(s *model.ServerSpec) { s.Address = "10.0.0.9:1" }), 0),
		Entry("a server's name is in an unchanged service", editFirst(func(s *model.ServerSpec) { s.Name = "b-2" }), 1),
		Entry("a server's address is in an unchanged service, written in another way",
			editFirst(func(s *model.ServerSpec) { s.Address = "[fd00:0::1]:1" }), 1),
		Entry("a server's address is in its own service", editFirst(func(s *model.ServerSpec) { s.Address = "10.0.0.1:1" }), 1),
		Entry("a server's zone does not exist", editFirst(func(s *model.ServerSpec) { s.Zone = "y" }), 1),
		Entry("the zone of unchanged services is removed", func(inv *model.Inventory) { inv.Zones[0].Name = "y" }, 4),
		Entry("an unchanged service is listed twice", func(inv *model.Inventory) {
			inv.Services = append(inv.Services, inv.Services[1])
		}, 5),
		Entry("a service gets the name of another one", func(inv *model.Inventory) { inv.Services[1].Name = "a" }, 1),
		Entry("a service gets an invalid epoch", func(inv *model.Inventory) { inv.Services[1].ShardMapEpoch = 0 }, 1),
		Entry("a limit is out of range", func(inv *model.Inventory) { inv.MaxInstances = 0 }, 1),
		Entry("all services are removed", func(inv *model.Inventory) { inv.Services = nil }, 1),
	)

	// Guards against invalid rules that are accepted because the inventory is unchanged.
	It("returns the problems of the rules", func() {
		Expect(document.ValidateIncremental(&valid, valid, model.Rules{})).To(Equal(document.Validate(valid, model.Rules{})))
	})
})
