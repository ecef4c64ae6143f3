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

func serviceOf(epoch model.ShardMapEpoch) model.Inventory {
	return model.Inventory{MaxInstances: 1, Services: []model.ServiceSpec{
		{Name: "a", ShardMapEpoch: epoch, Shards: []model.ShardSpec{{Name: "all", KeyTo: model.KeySpace}}},
	}}
}

// accept writes a revision to the store, and returns its root and the offer of it.
func accept(store platform.Store, rev model.Revision, inv model.Inventory) (*configdoc.Root, offer) {
	root := &configdoc.Root{Revision: rev, Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, p := range configdoc.Split(inv, model.Rules{}) {
		root.Parts[name] = p.Hash
		_, _ = store.Put(context.Background(), configdoc.PrefixParts+string(p.Hash), p.Value, 0, "")
	}
	root.Seal(nil)
	value := root.Encode()
	_, err := store.Put(context.Background(), configdoc.KeyHead, value, platform.Version(rev-1), "")
	Expect(err).NotTo(HaveOccurred())
	return root, offer{Offer: model.Offer{Revision: rev, Root: model.RootHash(configdoc.HashOf(value))}}
}

var _ = Describe("taking a revision", func() {
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

	// Guards against a daemon that lags by a revision and holds the newer one to be invalid, or takes another for the one named.
	It("waits for the newer revision when the one offered is no longer the head", func() {
		_, first := accept(store, 1, serviceOf(1))
		Expect(a.consider(ctx, first)).To(Succeed())
		_, second := accept(store, 2, serviceOf(2))
		_, third := accept(store, 3, serviceOf(3))
		a.process(ctx, second)
		Expect(a.consider(ctx, second)).To(MatchError(ErrMissing))
		Expect(a.Config.Rejected().At).To(BeZero())
		Expect(epoch()).To(BeEquivalentTo(1))
		Expect(a.consider(ctx, third)).To(Succeed())
		Expect(epoch()).To(BeEquivalentTo(3))
	})

	// Guards against an unchanged service that is shared with content of another revision than that of the hashes compared.
	It("shares no service of a Topology that is not of the document's revision", func() {
		root, _ := accept(store, 1, serviceOf(1))
		a.Config.InstallDocument(model.NewTopology(2, serviceOf(7), model.Rules{}), tables.Document{Root: root})
		_, _ = accept(store, 2, serviceOf(2))
		_, third := accept(store, 3, serviceOf(1))
		Expect(a.consider(ctx, third)).To(Succeed())
		Expect(epoch()).To(BeEquivalentTo(1))
	})

	// Guards against a wrong configuration that displaces a good one because its fault lies beside the unchanged services.
	It("keeps what is in force when a changed revision is invalid", func() {
		a.Validate = func(base *model.Inventory, inv model.Inventory, _ model.Rules) error {
			if base == nil {
				return nil
			}
			return document.ValidateOn(base, inv, model.Rules{}).Err()
		}
		_, first := accept(store, 1, serviceOf(1))
		Expect(a.consider(ctx, first)).To(Succeed())
		_, second := accept(store, 2, serviceOf(0))
		a.process(ctx, second)
		Expect(a.Config.Rejected().Offer).To(Equal(second.Offer))
		Expect(epoch()).To(BeEquivalentTo(1))
	})
})
