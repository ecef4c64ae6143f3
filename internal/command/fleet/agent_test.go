package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestFleet(t *testing.T) { suite.Run(t, "./internal/command/fleet") }

var _ = Describe("leaving servers", func() {
	var a *Agent
	spec := &model.Server{ServerSpec: &model.ServerSpec{Name: "srv"}}
	BeforeEach(func() {
		a = New(Deps{
			Members: tables.NewMembers(model.Member{Instance: "self"}), Departures: tables.NewDepartures(), Owners: tables.NewOwners(),
			Config: tables.NewConfig(), Servers: tables.NewServers(), Log: zerolog.Nop(),
		})
		a.Servers.Put(tables.NewServer(spec, nil, 5, time.Time{}))
	})

	// Guards against a server that returns to service under the same name and never gets work again.
	It("get work again once nothing has shown them to be leaving for a while", func() {
		a.ObserveDraining("srv")
		Expect(a.Servers.Get("srv").AcceptsWork()).To(BeFalse())
		a.tick(time.Now())
		Expect(a.Servers.Get("srv").AcceptsWork()).To(BeFalse())
		a.tick(time.Now().Add(gossip.LeavingMarkTTL + time.Second))
		Expect(a.Servers.Get("srv").AcceptsWork()).To(BeTrue())
	})

	// Guards against a configuration change that loses the mark by replacing a server's record.
	It("stay marked when their record is replaced", func() {
		a.ObserveDraining("srv")
		a.Servers.Put(tables.NewServer(spec, nil, 6, time.Time{}))
		a.markLeavingServers(time.Now())
		Expect(a.Servers.Get("srv").AcceptsWork()).To(BeFalse())
	})
})

var _ = Describe("a first configuration", func() {
	// Guards against a daemon that gets requests while it considers itself the owner of all servers of its zone.
	It("is installed together with the owners that are known by then", func() {
		members := tables.NewMembers(model.Member{Instance: "self", Zone: "z", Address: "a"})
		members.SetListed("z", []model.Member{{Instance: "peer", Zone: "z", Address: "b"}}, time.Now())
		var joined []model.Member
		a := New(Deps{
			Members: members, Departures: tables.NewDepartures(), Owners: tables.NewOwners(), Config: tables.NewConfig(),
			Servers: tables.NewServers(), Log: zerolog.Nop(), ApplyTopology: func(*model.Topology, time.Time) {},
			OwnersJoined: func(ms []model.Member) { joined = ms },
		})
		a.install(model.NewTopology(1, model.Inventory{}, model.Rules{}), tables.Document{Root: &configdoc.Root{Revision: 1}})
		Expect(a.Owners.View().Zones["z"]).To(HaveLen(2))
		Expect(joined).To(HaveLen(2))
	})
})

var _ = Describe("the limit of store reads", func() {
	// Guards against a daemon that overloads the store, and against a limit below which a large configuration cannot be read.
	It("refuses reads beyond those of a window and allows one large configuration", func() {
		var l readLimiter
		now := time.Now()
		Expect(l.allow(200, now)).To(BeTrue())
		Expect(l.allow(1, now)).To(BeFalse())
		Expect(l.allow(1, now.Add(readWindow+time.Second))).To(BeTrue())
	})
})

// fakePeers answers calls for parts with the given replies in turn, and repeats the last one.
type fakePeers struct {
	Peers
	replies []peer.PartsReply
	asked   int
}

func (f *fakePeers) Parts(context.Context, string, []configdoc.Hash) (peer.PartsReply, error) {
	reply := f.replies[min(f.asked, len(f.replies)-1)]
	f.asked++
	return reply, nil
}

var _ = Describe("pulling values from a peer", func() {
	pack := func(value string) peer.PackedPart {
		return peer.Pack(configdoc.HashOf([]byte(value)), []byte(value))
	}
	hashes := []configdoc.Hash{configdoc.HashOf([]byte("a")), configdoc.HashOf([]byte("b"))}

	// Guards against a daemon that keeps calling one peer and never processes another offer.
	DescribeTable("ends whatever the peer answers",
		func(calls, got int, replies ...peer.PartsReply) {
			f := &fakePeers{replies: replies}
			a := New(Deps{Peers: f, Members: tables.NewMembers(model.Member{}), Log: zerolog.Nop()})
			values, err := a.pullFromPeer(context.Background(), "peer", hashes)
			Expect(err).NotTo(HaveOccurred())
			Expect(f.asked).To(Equal(calls))
			Expect(missingHashes(hashes, values)).To(HaveLen(len(hashes) - got))
		},
		Entry("all at once", 1, 2, peer.PartsReply{Parts: []peer.PackedPart{pack("a"), pack("b")}}),
		Entry("one a reply", 2, 2, peer.PartsReply{Parts: []peer.PackedPart{pack("a")}},
			peer.PartsReply{Parts: []peer.PackedPart{pack("b")}}),
		Entry("one of two", 2, 1, peer.PartsReply{Parts: []peer.PackedPart{pack("a")}}, peer.PartsReply{}),
		Entry("nothing", 1, 0, peer.PartsReply{}),
		Entry("something else", 1, 0, peer.PartsReply{Parts: []peer.PackedPart{pack("other")}}),
	)

	// Guards against accepting a peer's value as the one that a root names without checking its hash.
	It("refuses a value that does not match its hash", func() {
		wrong := pack("other")
		wrong.Hash = hashes[0]
		f := &fakePeers{replies: []peer.PartsReply{{Parts: []peer.PackedPart{wrong}}}}
		a := New(Deps{Peers: f, Members: tables.NewMembers(model.Member{}), Log: zerolog.Nop()})
		values, err := a.pullFromPeer(context.Background(), "peer", hashes[:1])
		Expect(err).To(HaveOccurred())
		Expect(values).To(BeEmpty())
	})
})
