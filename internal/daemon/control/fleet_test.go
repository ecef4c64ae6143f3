package control_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/daemon/control"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestControl(t *testing.T) { suite.Run(t, "./internal/daemon/control") }

// propagationLimit is the target time for a configuration change to take effect on every daemon.
const propagationLimit = 16 * time.Second

// leavingLimit is the maximum time from the first sign that a server is leaving until it gets no new work.
const leavingLimit = 3 * time.Second

const token = "peers"

var (
	errInvalid = errors.New("no instances")
	errCut     = errors.New("cut off")
)

func inventory(instances int) model.Inventory {
	return model.Inventory{
		MaxInstances: instances,
		Zones:        []model.ZoneSpec{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Services: []model.ServiceSpec{{Name: "search", Shards: []model.ShardSpec{
			{Name: "s0", Servers: []model.ServerSpec{{Name: "srv-1", Connections: 25}}},
		}}},
	}
}

// node is the control plane of one daemon.
type node struct {
	name    model.InstanceID
	zone    model.AvailabilityZone
	address string
	seeds   []string
	link    *link
	// cut makes the daemon's dials to peers and its writes on the connections that it opened fail.
	cut     atomic.Bool
	config  *tables.Config
	servers *tables.Servers
	plane   *control.Plane
	stopped atomic.Bool
	// highest is the highest revision that the daemon has applied, including before restarts. reverted is set once it applies
	// a lower one.
	highest  model.Revision
	reverted atomic.Bool
}

func (n *node) start() {
	n.config, n.servers = tables.NewConfig(), tables.NewServers()
	n.servers.Put(tables.NewServer(&model.Server{ServerSpec: &model.ServerSpec{Name: "srv-1"}}, nil, 5, time.Time{}))
	var err error
	n.plane, err = control.Open(control.Config{
		Instance: n.name, Zone: n.zone, PeerAddress: n.address, PeerToken: token, Seeds: n.seeds,
		Dial: n.dial, Store: n.link, Instances: n.link, Config: n.config, Servers: n.servers,
		Validate: func(_ *model.Inventory, inv model.Inventory, _ model.Rules) error {
			if inv.MaxInstances < 1 {
				return errInvalid
			}
			return nil
		},
		ApplyTopology: func(t *model.Topology, _ time.Time) {
			if t.Revision < n.highest {
				n.reverted.Store(true)
			}
			n.highest = max(n.highest, t.Revision)
		},
		Draining: n.stopped.Load, Log: zerolog.Nop(),
	})
	Expect(err).NotTo(HaveOccurred())
	n.address = n.plane.Members.Self().Address
	n.plane.Start()
}

func (n *node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.cut.Load() {
		return nil, errCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &cutConn{Conn: conn, cut: &n.cut}, err
}

// cutConn is a connection whose writes fail while cut is set.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return 0, errCut
	}
	return c.Conn.Write(p)
}

// acceptsWork reports whether the daemon may send new work to srv-1.
func (n *node) acceptsWork() bool { return n.servers.Get("srv-1").AcceptsWork() }

// startFleet starts count daemons, alternating between zones a, b and c, and adds them to the platform's instance list.
func startFleet(p *fakePlatform, count int) []*node {
	var nodes []*node
	for i := range count {
		n := &node{
			name: model.InstanceID(fmt.Sprintf("entry-%d", i)), zone: model.AvailabilityZone("abc"[i%3 : i%3+1]),
			address: "127.0.0.1:0", link: &link{platform: p},
		}
		if i > 0 {
			n.seeds = []string{nodes[0].address}
		}
		n.start()
		p.mu.Lock()
		p.instances = append(p.instances, platform.Instance{
			Name: string(n.name), Role: platform.RoleEntry, Zone: n.zone, Address: n.address, State: platform.InstanceLive,
		})
		p.mu.Unlock()
		nodes = append(nodes, n)
		DeferCleanup(func() { n.plane.Close() })
	}
	nodes[0].seeds = []string{nodes[1].address}
	return nodes
}

func revisions(nodes []*node) func() []model.Revision {
	return func() []model.Revision {
		var out []model.Revision
		for _, n := range nodes {
			out = append(out, n.config.Revision())
		}
		return out
	}
}

func haveAll(rev model.Revision) OmegaMatcher { return HaveEach(rev) }

var _ = Describe("the control planes of several daemons", func() {
	var p *fakePlatform
	var nodes []*node
	BeforeEach(func() {
		p = newFakePlatform()
		p.publish(1, inventory(8))
		nodes = startFleet(p, 6)
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(1))
	})

	DescribeTable("apply a change on every daemon despite a fault",
		func(fault func(l *link, zone model.AvailabilityZone)) {
			// Guards against a change that reaches only those daemons that read it from the store in time themselves.
			for _, n := range nodes {
				n.link.update(func(l *link) { fault(l, n.zone) })
			}
			p.publish(2, inventory(9))
			Eventually(revisions(nodes), propagationLimit).Should(haveAll(2))
		},
		Entry("none", func(*link, model.AvailabilityZone) {}),
		Entry("each call to the store takes 1 s", func(l *link, _ model.AvailabilityZone) { l.delay = time.Second }),
		Entry("a zone is cut off from the platform but not from peers", func(l *link, z model.AvailabilityZone) {
			l.down = z == "b"
		}),
		Entry("two zones read a stale replica of the store", func(l *link, z model.AvailabilityZone) {
			if z != "a" {
				e, _ := p.get("config/head")
				l.stale = &e
			}
		}),
	)

	// Guards against a daemon that installs whatever head the store returns after an outage or a restore from a backup.
	It("never revert to an older head, and install a higher revision afterwards", func() {
		old, _ := p.get("config/head")
		p.publish(2, inventory(9))
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(2))
		p.put("config/head", old.Value)
		Consistently(revisions(nodes), 3*time.Second).Should(haveAll(2))
		p.publish(3, inventory(10))
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(3))
		for _, n := range nodes {
			Expect(n.reverted.Load()).To(BeFalse(), string(n.name))
		}
	})

	// Guards against a daemon that loses its configuration in a restart and installs an earlier revision from a lagging
	// replica.
	It("install no earlier revision after a restart with a stale replica of the store", func() {
		old, _ := p.get("config/head")
		p.publish(2, inventory(9))
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(2))
		for _, n := range nodes {
			n.link.update(func(l *link) { l.stale = &old })
			n.plane.Close()
			n.start()
			Eventually(n.config.Revision, propagationLimit).Should(Equal(model.Revision(2)), string(n.name))
			Expect(n.reverted.Load()).To(BeFalse(), string(n.name))
		}
	})

	// Guards against daemons that alternate forever between two roots of the same revision.
	It("keep the installed root when another one has the same revision", func() {
		root := nodes[0].config.Document().Offer.Root
		p.publish(1, inventory(99))
		Consistently(func() model.RootHash { return nodes[0].config.Document().Offer.Root }, 2*time.Second).Should(Equal(root))
		Expect(revisions(nodes)()).To(haveAll(1))
	})

	DescribeTable("keep the current configuration when the next one is unusable, and install the one after it",
		func(publishUnusable func()) {
			// Guards against installing an invalid or altered configuration, and against ignoring all revisions after it.
			publishUnusable()
			Consistently(revisions(nodes), 2*time.Second).Should(haveAll(1))
			p.publish(3, inventory(10))
			Eventually(revisions(nodes), propagationLimit).Should(haveAll(3))
		},
		Entry("a head that cannot be decoded", func() { p.put("config/head", []byte("{")) }),
		Entry("an invalid configuration", func() { p.publish(2, inventory(0)) }),
		Entry("a part that does not match its hash", func() {
			// The part is valid but belongs to another revision; only its hash shows that.
			other := configdoc.Split(inventory(77), model.Rules{})["fleet"]
			p.publishParts(2, inventory(9), func(name configdoc.PartName, value []byte) []byte {
				if name == "fleet" {
					return other.Value
				}
				return value
			})
		}),
	)

	// Guards against a fleet that loses its configuration when all its instances are replaced during an outage of the store.
	It("keep the configuration while all daemons restart in turn with the store down", func() {
		for _, n := range nodes {
			n.link.update(func(l *link) { l.down = true })
		}
		for _, n := range nodes {
			n.plane.Close()
			n.start()
			Eventually(n.config.Revision, propagationLimit).Should(Equal(model.Revision(1)), string(n.name))
			Expect(n.plane.Status.NotReadyReason()).To(BeEmpty())
		}
		Expect(revisions(nodes)()).To(haveAll(1))
		for _, n := range nodes {
			n.link.update(func(l *link) { l.down = false })
		}
		p.publish(2, inventory(9))
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(2))
	})

	// Guards against daemons that continue to send work to a leaving server because they do not read the platform's instance
	// list themselves (guarantee G6).
	It("stop new work to a leaving server on every daemon", func() {
		p.setState("srv-1", platform.InstanceLeaving)
		for _, n := range nodes {
			Eventually(n.acceptsWork, leavingLimit).Should(BeFalse(), string(n.name))
		}
	})

	It("catch up after a zone was cut off from peers and the platform", func() {
		// Guards against daemons that lose their configuration while they are cut off, or do not get the current one afterwards.
		cutOff := func(cut bool) {
			for _, n := range nodes {
				if n.zone == "c" {
					n.link.update(func(l *link) { l.down = cut })
				}
				// All daemons are cut off from each other, so that those in other zones cannot reach zone c either.
				n.cut.Store(cut)
			}
		}
		cutOff(true)
		p.publish(2, inventory(9))
		Eventually(func() []model.Revision { return revisions(nodes)()[:2] }, propagationLimit).Should(haveAll(2))
		Expect(nodes[2].config.Revision()).To(Equal(model.Revision(1)))
		Expect(nodes[2].plane.Status.NotReadyReason()).To(BeEmpty(), "zone c keeps using its current configuration")
		cutOff(false)
		Eventually(revisions(nodes), propagationLimit).Should(haveAll(2))
	})

	It("stop new work to a server on every daemon when one daemon observes that the server drains", func() {
		// Guards against daemons that each learn of the drain only from a refused request of their own.
		nodes[3].plane.Agent.ObserveDraining("srv-1")
		for _, n := range nodes {
			Eventually(n.acceptsWork, leavingLimit).Should(BeFalse(), string(n.name))
		}
	})

	It("report when the store was last contacted", func() {
		// Guards against a status from which operators cannot tell that the store is unreachable.
		Eventually(func() time.Time { return nodes[5].plane.Status.Read(time.Now()).StoreContact }, propagationLimit).
			Should(BeTemporally("~", time.Now(), time.Minute))
	})
})

var _ = Describe("a daemon without a store and without peers", func() {
	It("is not ready, states the reason, and becomes ready once the store is reachable", func() {
		// Guards against a daemon that is ready without a configuration, or that stops trying to read one.
		p := newFakePlatform()
		p.publish(1, inventory(8))
		n := &node{name: "alone", zone: "a", address: "127.0.0.1:0", link: &link{platform: p, down: true}}
		n.start()
		DeferCleanup(func() { n.plane.Close() })
		Consistently(n.plane.Status.NotReadyReason, time.Second).Should(ContainSubstring("no configuration"))
		n.link.update(func(l *link) { l.down = false })
		Eventually(n.plane.Status.NotReadyReason, propagationLimit).Should(BeEmpty())
	})
})
