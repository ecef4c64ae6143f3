package cluster

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

const (
	loopback      = "127.0.0.1:0"
	headerTimeout = 5 * time.Second
	// readyTimeout bounds the wait for all daemons to have a configuration in force.
	readyTimeout = 10 * time.Second
	readyPoll    = 10 * time.Millisecond
)

// Cluster is a running set of stand-ins and daemons.
type Cluster struct {
	cfg     Config
	Network *Network
	// Platform is the platform's stand-in.
	Platform *platformserver.Server

	inventory model.Inventory
	revision  model.Revision
	servers   map[model.ServerName]*backendserver.Server
	records   map[model.ServiceName]*backendserver.Record
	daemons   []*daemon.Daemon
	zones     []model.ZoneSpec
	platform  *http.Server
	log       zerolog.Logger

	mu     lockorder.Mutex
	leaves map[model.ServerName]time.Time
}

// Start starts a cluster and returns once all daemons have the configuration in force.
func Start(ctx context.Context, cfg Config, log zerolog.Logger) (*Cluster, error) {
	c := &Cluster{
		cfg:      cfg,
		Network:  NewNetwork(),
		Platform: platformserver.New(),
		servers:  map[model.ServerName]*backendserver.Server{},
		records:  map[model.ServiceName]*backendserver.Record{},
		log:      log,
		mu:       lockorder.New(locks.OrderLeaves),
		leaves:   map[model.ServerName]time.Time{},
	}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startServers(); err != nil {
		return err
	}
	platformAddress, err := c.startPlatform(ctx)
	if err != nil {
		return err
	}
	if err := c.startDaemons(platformAddress); err != nil {
		return err
	}
	if err := c.Apply(ctx, c.inventory, c.cfg.Rules); err != nil {
		return err
	}
	return c.awaitRevision(ctx)
}

// startServers starts a stand-in for every server and fills the inventory with their addresses.
func (c *Cluster) startServers() error {
	c.inventory = cloneInventory(c.cfg.Inventory)
	regions := map[model.AvailabilityZone]model.Region{}
	for _, z := range c.inventory.Zones {
		regions[z.Name] = z.Region
	}
	seed := c.cfg.Seed
	for i := range c.inventory.Services {
		svc := &c.inventory.Services[i]
		c.records[svc.Name] = backendserver.NewRecord()
		for j := range svc.Shards {
			for k := range svc.Shards[j].Servers {
				seed++
				spec := &svc.Shards[j].Servers[k]
				if err := c.startServer(svc, svc.Shards[j].Name, spec, seed); err != nil {
					return err
				}
				c.Network.Register(spec.Address, Place{Zone: spec.Zone, Region: regions[spec.Zone]})
			}
		}
	}
	return nil
}

func (c *Cluster) startServer(
	svc *model.ServiceSpec, shard model.ShardName, spec *model.ServerSpec, seed uint64,
) error {
	cfg := backendserver.Config{
		Name:           spec.Name,
		Shard:          shard,
		Epoch:          svc.ShardMapEpoch,
		Version:        1,
		Slots:          spec.Slots,
		ServiceTime:    c.cfg.ServiceTime,
		Spread:         c.cfg.Spread,
		Seed:           seed,
		Items:          c.cfg.Items,
		Connections:    spec.Connections,
		ConnectionCost: time.Duration(spec.ConnectionCostMs * float64(time.Millisecond)),
		Record:         c.records[svc.Name],
	}
	if c.cfg.Cold[spec.Name] {
		cfg.ColdFor, cfg.ColdFactor = c.cfg.ColdFor, c.cfg.ColdFactor
	}
	s := backendserver.New(cfg)
	c.servers[spec.Name] = s
	if err := s.Start(loopback); err != nil {
		return err
	}
	spec.Address = s.Address()
	return nil
}

func (c *Cluster) startPlatform(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "cluster: listening")
	}
	c.platform = &http.Server{Handler: c.Platform, ReadHeaderTimeout: headerTimeout}
	go func() {
		// Serve returns when Stop closes the server.
		_ = c.platform.Serve(l)
	}()
	address := l.Addr().String()
	c.Network.Register(address, Place{Role: RolePlatform})
	return address, nil
}

func (c *Cluster) startDaemons(platformAddress string) error {
	for i := range c.cfg.Daemons {
		zone := c.inventory.Zones[i%len(c.inventory.Zones)]
		s := settings.Defaults()
		s.Instance = model.InstanceID(fmt.Sprintf("entry-%d", i))
		s.Zone, s.Region = zone.Name, zone.Region
		s.CallerAddress, s.OperatorAddress, s.PeerAddress = loopback, loopback, loopback
		s.PlatformAddress = platformAddress
		s.Policy = c.cfg.Policy
		place := Place{Zone: zone.Name, Region: zone.Region}
		d, err := daemon.Start(s, c.log, daemon.WithDialer(c.Network.Dialer(place)))
		if err != nil {
			return err
		}
		c.Network.Register(d.CallerAddress(), place)
		c.Network.Register(d.OperatorAddress(), place)
		c.daemons = append(c.daemons, d)
		c.zones = append(c.zones, zone)
	}
	c.Platform.SetInstances(c.instances())
	return nil
}

func (c *Cluster) instances() []platform.Instance {
	var list []platform.Instance
	for _, svc := range c.inventory.Services {
		for _, sh := range svc.Shards {
			for _, s := range sh.Servers {
				list = append(list, platform.Instance{
					Name: string(s.Name), Role: platform.RoleServer, Zone: s.Zone, Address: s.Address,
					State: platform.InstanceLive,
				})
			}
		}
	}
	return list
}

// CallerAddress returns the callers' address of a daemon, by its index.
func (c *Cluster) CallerAddress(i int) string { return c.daemons[i].CallerAddress() }

// Record returns the execution record of a service.
func (c *Cluster) Record(service model.ServiceName) *backendserver.Record { return c.records[service] }

// Server returns the stand-in of a server.
func (c *Cluster) Server(name model.ServerName) *backendserver.Server { return c.servers[name] }

// Inventory returns the inventory in force, with the stand-ins' addresses.
func (c *Cluster) Inventory() model.Inventory { return c.inventory }

// Leaves returns when servers that were told to leave were told so.
func (c *Cluster) Leaves() map[model.ServerName]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.leaves)
}

// Stop ends daemons and stand-ins.
func (c *Cluster) Stop() {
	stopped := make(chan struct{})
	for _, d := range c.daemons {
		go func() {
			d.Stop()
			stopped <- struct{}{}
		}()
	}
	for range c.daemons {
		<-stopped
	}
	if c.platform != nil {
		// Open watches are cut.
		_ = c.platform.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
}

func cloneInventory(inv model.Inventory) model.Inventory {
	out := inv
	out.Services = make([]model.ServiceSpec, len(inv.Services))
	for i, svc := range inv.Services {
		out.Services[i] = svc
		out.Services[i].Shards = make([]model.ShardSpec, len(svc.Shards))
		for j, sh := range svc.Shards {
			out.Services[i].Shards[j] = sh
			out.Services[i].Shards[j].Servers = append([]model.ServerSpec(nil), sh.Servers...)
		}
	}
	return out
}
