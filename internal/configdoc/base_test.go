package configdoc_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
)

// newService returns a service with the given number of shards. One with 4000 shards has several parts.
func newService(name model.ServiceName, shards int) model.ServiceSpec {
	svc := model.ServiceSpec{Name: name, ShardMapEpoch: 1}
	for i := range shards {
		svc.Shards = append(svc.Shards, model.ShardSpec{
			Name: model.ShardName(fmt.Sprintf("shard-%d", i)), KeyFrom: i, KeyTo: i + 1,
			Servers: []model.ServerSpec{{Name: model.ServerName(fmt.Sprintf("%s-%d", name, i)), Address: "10.0.0.1:7000"}},
		})
	}
	return svc
}

// splitToRoot returns a root for the inventory, and the values of its parts by hash.
func splitToRoot(inv model.Inventory) (*configdoc.Root, map[configdoc.Hash][]byte) {
	root := &configdoc.Root{Revision: 1, Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	for name, p := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = p.Hash
		values[p.Hash] = p.Value
	}
	return root, values
}

var _ = Describe("incremental joining", func() {
	before := func() model.Inventory {
		return model.Inventory{MaxInstances: 8, Services: []model.ServiceSpec{newService("a", 4000), newService("b", 10)}}
	}

	// Guards against a daemon whose configuration depends on which revisions it installed before.
	DescribeTable("returns what a full join returns",
		func(edit func(*model.Inventory)) {
			oldRoot, _ := splitToRoot(before())
			after := before()
			edit(&after)
			root, values := splitToRoot(after)
			get := func(h configdoc.Hash) []byte { return values[h] }
			want, _, err := configdoc.Join(root, get)
			Expect(err).NotTo(HaveOccurred())
			got, _, err := configdoc.JoinIncremental(&configdoc.Base{Root: oldRoot, Inventory: before()}, root, get)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
		},
		Entry("no edit", func(*model.Inventory) {}),
		Entry("another limit", func(inv *model.Inventory) { inv.MaxInstances = 9 }),
		Entry("a server's address changes", func(inv *model.Inventory) { inv.Services[0].Shards[3999].Servers[0].Address = "10.0.0.2:7" }),
		Entry("a service loses its last parts", func(inv *model.Inventory) {
			inv.Services[0].Shards = inv.Services[0].Shards[:1000]
		}),
		Entry("a service is removed", func(inv *model.Inventory) { inv.Services = inv.Services[1:] }),
		Entry("a service is added", func(inv *model.Inventory) { inv.Services = append(inv.Services, newService("c", 3)) }),
		Entry("services are reordered", func(inv *model.Inventory) {
			inv.Services[0], inv.Services[1] = inv.Services[1], inv.Services[0]
		}),
	)

	// Guards against decoding the parts of all services for each revision; see configdoc.Base for the cost.
	It("shares unchanged services with the base and does not read their parts", func() {
		oldRoot, _ := splitToRoot(before())
		base := before()
		after := before()
		after.Services[1].ShardMapEpoch = 2
		root, values := splitToRoot(after)
		delete(values, oldRoot.Parts["service/a"])
		got, _, err := configdoc.JoinIncremental(&configdoc.Base{Root: oldRoot, Inventory: base}, root,
			func(h configdoc.Hash) []byte { return values[h] })
		Expect(err).NotTo(HaveOccurred())
		Expect(&got.Services[0].Shards[0]).To(BeIdenticalTo(&base.Services[0].Shards[0]))
	})
})
