package fleet

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

func inventoryWithEpoch(epoch model.ShardMapEpoch) model.Inventory {
	return model.Inventory{MaxInstances: 1, Services: []model.ServiceSpec{
		{Name: "a", ShardMapEpoch: epoch, Shards: []model.ShardSpec{{Name: "all", KeyTo: model.KeySpace}}},
	}}
}

// writeRevision writes a revision to the store, and returns its root and an offer of it.
func writeRevision(store platform.Store, rev model.Revision, inv model.Inventory) (*configdoc.Root, offer) {
	root := &configdoc.Root{Revision: rev, Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, p := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = p.Hash
		_, _ = store.Put(context.Background(), configdoc.PrefixParts+string(p.Hash), p.Value, 0, "")
	}
	root.DescribeChanges(nil)
	value := root.Encode()
	_, err := store.Put(context.Background(), configdoc.KeyHead, value, platform.Version(rev-1), "")
	Expect(err).NotTo(HaveOccurred())
	return root, offer{Offer: model.Offer{Revision: rev, Root: model.RootHash(configdoc.HashOf(value))}}
}

var _ = Describe("installing an offered revision", func() {
	ctx := context.Background()
	var store *memplatform.Platform
	var a *Agent
	BeforeEach(func() {
		store = memplatform.New(time.Now)
		a = New(Deps{
			Members: tables.NewMembers(model.Member{Instance: "self"}), Departures: tables.NewDepartures(), Owners: tables.NewOwners(),
			Config: tables.NewConfig(), Servers: tables.NewServers(), Log: zerolog.Nop(), Store: store,
			Peers: &fakePeers{replies: []peer.PartsReply{{}}}, ApplyTopology: func(*model.Topology, time.Time) {},
			Validate: func(*model.Inventory, model.Inventory, model.Rules) error { return nil },
		})
		a.storeUp.Store(true)
	})
	epoch := func() model.ShardMapEpoch { return a.Config.Current().Service("a").Epoch }

	// Guards against a daemon that is a revision behind and rejects the newer one as invalid, or installs another one than offered.
	It("waits for the newer revision when the one offered is no longer the head", func() {
		_, first := writeRevision(store, 1, inventoryWithEpoch(1))
		Expect(a.applyOffer(ctx, first)).To(Succeed())
		_, second := writeRevision(store, 2, inventoryWithEpoch(2))
		_, third := writeRevision(store, 3, inventoryWithEpoch(3))
		a.processOffer(ctx, second)
		Expect(a.applyOffer(ctx, second)).To(MatchError(ErrMissing))
		Expect(a.Config.Rejected().At).To(BeZero())
		Expect(epoch()).To(BeEquivalentTo(1))
		Expect(a.applyOffer(ctx, third)).To(Succeed())
		Expect(epoch()).To(BeEquivalentTo(3))
	})

	// Guards against sharing a service of a Topology whose revision is not the one whose hashes were compared.
	It("shares no service of a Topology that is not of the document's revision", func() {
		root, _ := writeRevision(store, 1, inventoryWithEpoch(1))
		a.Config.InstallDocument(model.NewTopology(2, inventoryWithEpoch(7), model.Rules{}), tables.Document{Root: root})
		_, _ = writeRevision(store, 2, inventoryWithEpoch(2))
		_, third := writeRevision(store, 3, inventoryWithEpoch(1))
		Expect(a.applyOffer(ctx, third)).To(Succeed())
		Expect(epoch()).To(BeEquivalentTo(1))
	})

	// Guards against an invalid configuration that replaces a valid one because validation skips the unchanged services.
	It("keeps what is in force when a changed revision is invalid", func() {
		a.Validate = func(base *model.Inventory, inv model.Inventory, _ model.Rules) error {
			if base == nil {
				return nil
			}
			return document.ValidateIncremental(base, inv, model.Rules{}).Err()
		}
		_, first := writeRevision(store, 1, inventoryWithEpoch(1))
		Expect(a.applyOffer(ctx, first)).To(Succeed())
		_, second := writeRevision(store, 2, inventoryWithEpoch(0))
		a.processOffer(ctx, second)
		Expect(a.Config.Rejected().Offer).To(Equal(second.Offer))
		Expect(epoch()).To(BeEquivalentTo(1))
	})
})
