package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/measure/labels"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
)

// balancerPoll is how often the load balancer asks a daemon whether it is ready.
const balancerPoll = 100 * time.Millisecond

// member is one daemon with the load balancer's view of it.
type member struct {
	daemon *daemon.Daemon
	ready  bool
}

func (c *Cluster) zoneOf(i int) model.ZoneSpec {
	return c.cfg.Inventory.Zones[i%len(c.cfg.Inventory.Zones)]
}

func (c *Cluster) startDaemons() error {
	for i := range c.cfg.Daemons {
		d, err := c.startDaemon(i)
		if err != nil {
			return err
		}
		c.addMember(member{daemon: d, ready: true})
	}
	if c.cfg.LoadBalancer {
		ctx, cancel := context.WithCancel(context.Background())
		c.stopBalancer = cancel
		go c.balance(ctx)
	}
	return nil
}

// startDaemon starts the i-th daemon, for the first time or again.
func (c *Cluster) startDaemon(i int) (*daemon.Daemon, error) {
	zone := c.zoneOf(i)
	s := settings.Defaults()
	s.Instance = instanceID(i)
	s.Zone, s.Region = zone.Name, zone.Region
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = loopback, loopback, loopback
	s.PlatformAddress = c.platformAddress
	s.OperatorToken, s.PeerToken = Token, Token
	s.Policy = c.cfg.Policy
	s.Peers = c.peersOf(i)
	if !c.cfg.LoadBalancer {
		s.DrainGraceMs = 0
	}
	place := Location{Zone: zone.Name, Region: zone.Region}
	d, err := daemon.Start(s, c.log, daemon.WithDialer(c.Network.Dialer(place)))
	if err != nil {
		return nil, err
	}
	for _, address := range []string{d.CallerAddress(), d.OperatorAddress(), d.PeerAddress()} {
		c.Network.Register(address, place)
	}
	return d, nil
}

// peersOf returns the peers' addresses of the daemons other than the i-th.
func (c *Cluster) peersOf(i int) []string {
	var out []string
	for j, m := range c.members() {
		if j != i {
			out = append(out, m.daemon.PeerAddress())
		}
	}
	return out
}

// members returns the daemons as they are now.
func (c *Cluster) members() []member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.daemons)
}

func (c *Cluster) addMember(m member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = append(c.daemons, m)
}

func (c *Cluster) replaceMember(i int, m member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[i] = m
}

// setReady records the load balancer's view of a daemon, unless it was replaced meanwhile.
func (c *Cluster) setReady(i int, d *daemon.Daemon, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.daemons[i].daemon == d {
		c.daemons[i].ready = ready
	}
}

// balance keeps the load balancer's view of the daemons until ctx ends.
func (c *Cluster) balance(ctx context.Context) {
	for sleep(balancerPoll, ctx.Done()) == nil {
		for i, m := range c.members() {
			c.setReady(i, m.daemon, ready(ctx, m.daemon.CallerAddress()))
		}
	}
}

// CallerAddress returns the callers' address of the daemon that the load balancer picks for an index: the daemon itself
// or, if it is not ready, the next one that is.
func (c *Cluster) CallerAddress(i int) string {
	list := c.members()
	for step := range list {
		if m := list[(i+step)%len(list)]; m.ready {
			return m.daemon.CallerAddress()
		}
	}
	return list[i].daemon.CallerAddress()
}

// OperatorAddress returns the operators' address of a daemon, by its index.
func (c *Cluster) OperatorAddress(i int) string { return c.members()[i].daemon.OperatorAddress() }

// RollingRestart replaces Count daemons in turn, each once the one before it is ready. A daemon withdraws its readiness,
// goes on serving for the grace time of the default settings, and ends when its requests have ended.
type RollingRestart struct {
	Count int
}

// Inject implements Fault.
func (f RollingRestart) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	for i := range f.Count {
		if err := c.restartDaemon(ctx, i%c.cfg.Daemons); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) restartDaemon(ctx context.Context, i int) error {
	old := c.members()[i].daemon
	old.BeginDrain("rolling_restart")
	<-old.Drained()
	var next *daemon.Daemon
	var err error
	labelled(ctx, labels.Daemon, func() { next, err = c.startDaemon(i) })
	if err != nil {
		return err
	}
	c.replaceMember(i, member{daemon: next})
	old.Stop()
	c.Platform.SetInstances(c.instances(c.Inventory()))
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := awaitReady(ctx, next.CallerAddress()); err != nil {
		return err
	}
	c.setReady(i, next, true)
	return nil
}
