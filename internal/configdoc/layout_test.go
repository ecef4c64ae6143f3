package configdoc_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestConfigDoc(t *testing.T) { suite.Run(t, "./internal/configdoc") }

func largeInventory(shards int) model.Inventory {
	svc := model.ServiceSpec{Name: "search", ShardMapEpoch: 1}
	for i := range shards {
		name := fmt.Sprintf("s%05d", i)
		sh := model.ShardSpec{Name: model.ShardName(name), KeyFrom: i, KeyTo: i + 1}
		for _, replica := range []string{"a", "b"} {
			sh.Servers = append(sh.Servers, model.ServerSpec{
				Name: model.ServerName(name + replica), Address: "127.0.0.1:7000", Zone: "z1", Slots: 2, Connections: 25,
			})
		}
		svc.Shards = append(svc.Shards, sh)
	}
	return model.Inventory{MaxInstances: 8, Services: []model.ServiceSpec{svc}}
}

// rootOf returns a root for the inventory, and the values of its parts by hash.
func rootOf(inv model.Inventory) (*configdoc.Root, map[configdoc.Hash][]byte) {
	root := &configdoc.Root{Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	for name, p := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = p.Hash
		values[p.Hash] = p.Value
	}
	return root, values
}

var _ = Describe("the parts of a configuration", func() {
	// Guards against shards that are lost or reordered where a service is divided into parts.
	It("join to the configuration that was split, and do not exceed MaxPartBytes", func() {
		inv := largeInventory(20_000)
		root, values := rootOf(inv)
		for _, v := range values {
			Expect(len(v)).To(BeNumerically("<=", configdoc.MaxPartBytes))
		}
		joined, _, err := configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
		Expect(err).NotTo(HaveOccurred())
		Expect(joined).To(Equal(inv))
	})

	// Guards against accepting a valid value of another revision as a part of this one.
	It("do not join if a value does not match its hash", func() {
		root, values := rootOf(largeInventory(1))
		_, other := rootOf(model.Inventory{MaxInstances: 77, Services: largeInventory(1).Services})
		for hash, value := range other {
			if values[hash] == nil {
				values[root.Parts["fleet"]] = value
			}
		}
		_, _, err := configdoc.Join(root, func(h configdoc.Hash) []byte { return values[h] })
		Expect(err).To(MatchError(configdoc.ErrCorrupt))
	})

	// Guards against part boundaries that depend on the sizes of earlier shards: one edit would change all later parts.
	DescribeTable("are mostly unchanged by one edit at the start of a large service",
		func(edit func(*model.ServiceSpec)) {
			inv := largeInventory(20_000)
			before, _ := rootOf(inv)
			edit(&inv.Services[0])
			after, _ := rootOf(inv)
			Expect(len(after.Parts)).To(BeNumerically(">", 20))
			Expect(len(configdoc.ChangedParts(before, after))).To(BeNumerically("<=", 4))
		},
		Entry("a longer name", func(s *model.ServiceSpec) { s.Shards[1].Servers[0].Name += "-renamed-to-something-longer" }),
		Entry("one more server", func(s *model.ServiceSpec) {
			s.Shards[1].Servers = append(s.Shards[1].Servers, model.ServerSpec{Name: "extra", Zone: "z1"})
		}),
		Entry("one shard less", func(s *model.ServiceSpec) { s.Shards = s.Shards[1:] }),
	)
})
