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

// balancerPollInterval is the interval at which the load balancer checks whether the daemons are ready.
const balancerPollInterval = 100 * time.Millisecond

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
		c.stopLoadBalancer = cancel
		go c.runLoadBalancer(ctx)
	}
	return nil
}

// startDaemon starts the i-th daemon or a replacement of it.
func (c *Cluster) startDaemon(i int) (*daemon.Daemon, error) {
	zone := c.zoneOf(i)
	s := settings.Defaults()
	s.Instance = instanceID(i)
	s.Zone, s.Region = zone.Name, zone.Region
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = loopback, loopback, loopback
	s.PlatformAddress = c.platformAddress
	s.OperatorToken, s.PeerToken = Token, Token
	s.Policy = c.cfg.Policy
	s.Peers = c.otherPeerAddresses(i)
	if !c.cfg.LoadBalancer {
		s.DrainGraceMs = 0
	}
	location := Location{Zone: zone.Name, Region: zone.Region}
	d, err := daemon.Start(s, c.log, daemon.WithDialer(c.Network.Dialer(location)))
	if err != nil {
		return nil, err
	}
	for _, address := range []string{d.CallerAddress(), d.OperatorAddress(), d.PeerAddress()} {
		c.Network.Register(address, location)
	}
	return d, nil
}

// otherPeerAddresses returns the addresses of the peer ports of all daemons but the i-th.
func (c *Cluster) otherPeerAddresses(i int) []string {
	var out []string
	for j, m := range c.members() {
		if j != i {
			out = append(out, m.daemon.PeerAddress())
		}
	}
	return out
}

// members returns a copy of the list of daemons.
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

// setReady records whether a daemon is ready, unless it was replaced meanwhile.
func (c *Cluster) setReady(i int, d *daemon.Daemon, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.daemons[i].daemon == d {
		c.daemons[i].ready = ready
	}
}

// runLoadBalancer updates the load balancer's view of the daemons until ctx ends.
func (c *Cluster) runLoadBalancer(ctx context.Context) {
	for sleep(balancerPollInterval, ctx.Done()) == nil {
		for i, m := range c.members() {
			c.setReady(i, m.daemon, ready(ctx, m.daemon.CallerAddress()))
		}
	}
}

// CallerAddress returns the address of the caller port of the daemon that the load balancer chooses for an index: the daemon
// with that index or, if it is not ready, the next one that is. If none is ready, it is the daemon with that index.
func (c *Cluster) CallerAddress(i int) string {
	list := c.members()
	for step := range list {
		if m := list[(i+step)%len(list)]; m.ready {
			return m.daemon.CallerAddress()
		}
	}
	return list[i].daemon.CallerAddress()
}

// OperatorAddress returns the address of the operator port of a daemon, by its index.
func (c *Cluster) OperatorAddress(i int) string { return c.members()[i].daemon.OperatorAddress() }

// RollingRestart replaces Count daemons one after the other; each replacement starts once the previous one is ready. A daemon
// being replaced reports that it is not ready, serves requests for the grace period of the default settings, and stops once
// its requests have ended.
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
