package cluster

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/labels"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

const (
	loopback = "127.0.0.1:0"
	// Token is the bearer token of the operator and peer ports of a cluster, which listen on loopback only.
	Token         = "loopback-only"
	headerTimeout = 5 * time.Second
	// readyTimeout limits the wait until all daemons have a configuration in force.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// Cluster is a running set of stand-ins and daemons.
type Cluster struct {
	cfg     Config
	Network *Network
	// Platform is the stand-in for the platform.
	Platform *platformserver.Server

	revision model.Revision
	records  map[model.ServiceName]*backendserver.Record
	// platformAddress is the address at which daemons reach the platform.
	platformAddress string
	platform        *http.Server
	// stopLoadBalancer stops the load balancer; it is nil if there is none.
	stopLoadBalancer context.CancelFunc
	log              zerolog.Logger

	// editSemaphore is held while a fault changes the configuration. It is not a mutex because changes include I/O.
	editSemaphore chan struct{}

	// mu guards the fields below.
	mu               lockorder.Mutex
	inventory        model.Inventory
	servers          map[model.ServerName]*backendserver.Server
	leaveTimes       map[model.ServerName]time.Time
	daemons          []member
	propagationTimes []time.Duration
	edits            Edits
}

// Start starts a cluster, applies its configuration and returns once all daemons have it in force.
func Start(ctx context.Context, cfg Config, log zerolog.Logger) (*Cluster, error) {
	c, err := StartUnconfigured(ctx, cfg, log)
	if err != nil {
		return nil, err
	}
	if err = c.Apply(ctx, c.Inventory(), cfg.Rules); err == nil {
		err = c.AwaitReady(ctx)
	}
	if err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// StartUnconfigured starts a cluster without a configuration in force. Inventory returns the inventory to apply.
func StartUnconfigured(ctx context.Context, cfg Config, log zerolog.Logger) (*Cluster, error) {
	c := &Cluster{
		cfg:           cfg,
		Network:       NewNetwork(),
		Platform:      platformserver.New(),
		servers:       map[model.ServerName]*backendserver.Server{},
		records:       map[model.ServiceName]*backendserver.Record{},
		log:           log,
		editSemaphore: make(chan struct{}, 1),
		mu:            lockorder.New(locks.OrderCluster),
		leaveTimes:    map[model.ServerName]time.Time{},
	}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var inv model.Inventory
	var err error
	labelled(ctx, labels.Standin, func() {
		if inv, err = c.startServers(); err == nil {
			c.platformAddress, err = c.startPlatform(ctx)
		}
	})
	if err != nil {
		return err
	}
	labelled(ctx, labels.Daemon, func() { err = c.startDaemons() })
	if err != nil {
		return err
	}
	c.Platform.SetInstances(c.instances(inv))
	c.setInventory(inv)
	return nil
}

// labelled runs work with the profiler label of a component, which the goroutines that it starts inherit.
func labelled(ctx context.Context, component string, work func()) {
	pprof.Do(ctx, pprof.Labels(labels.Component, component), func(context.Context) { work() })
}

// startServers starts a stand-in for every server and returns the inventory with the addresses of the stand-ins.
func (c *Cluster) startServers() (model.Inventory, error) {
	inv := cloneInventory(c.cfg.Inventory)
	seed := c.cfg.Seed
	for i := range inv.Services {
		svc := &inv.Services[i]
		c.records[svc.Name] = backendserver.NewRecord()
		for j := range svc.Shards {
			for k := range svc.Shards[j].Servers {
				seed++
				spec := &svc.Shards[j].Servers[k]
				if err := c.startServer(svc, svc.Shards[j].Name, spec, seed, ColdStart{}); err != nil {
					return inv, err
				}
			}
		}
	}
	return inv, nil
}

// startServer starts a stand-in and sets its address in spec.
func (c *Cluster) startServer(
	svc *model.ServiceSpec, shard model.ShardName, spec *model.ServerSpec, seed uint64, cold ColdStart,
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
	cfg.ColdFor, cfg.ColdFactor = cold.Duration, cold.Factor
	s := backendserver.New(cfg)
	c.addServer(spec.Name, s)
	if err := s.Start(loopback); err != nil {
		return err
	}
	spec.Address = s.Address()
	c.Network.Register(spec.Address, Location{Zone: spec.Zone, Region: c.region(spec.Zone)})
	return nil
}

func (c *Cluster) region(zone model.AvailabilityZone) model.Region {
	for _, z := range c.cfg.Inventory.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
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
	c.Network.Register(address, Location{Role: RolePlatform})
	return address, nil
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("entry-%d", i)) }

// instances returns the platform's instance list: the daemons and the servers of an inventory.
func (c *Cluster) instances(inv model.Inventory) []platform.Instance {
	var list []platform.Instance
	for i, m := range c.members() {
		list = append(list, platform.Instance{
			Name: string(instanceID(i)), Role: platform.RoleEntry, Zone: c.zoneOf(i).Name, Address: m.daemon.PeerAddress(),
			State: platform.InstanceLive,
		})
	}
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			for _, s := range sh.Servers {
				list = append(list, platform.Instance{
					Name: string(s.Name), Role: platform.RoleServer, Zone: s.Zone, Address: s.Address,
					State: c.instanceState(s.Name),
				})
			}
		}
	}
	return list
}

// Record returns the execution record of a service.
func (c *Cluster) Record(service model.ServiceName) *backendserver.Record { return c.records[service] }

// StartedSubRequests returns the number of sub-requests that the servers of all services have started so far.
func (c *Cluster) StartedSubRequests() int {
	n := 0
	for _, r := range c.records {
		n += r.Counts().Started
	}
	return n
}

// Server returns the stand-in of a server.
func (c *Cluster) Server(name model.ServerName) *backendserver.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[name]
}

func (c *Cluster) addServer(name model.ServerName, s *backendserver.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[name] = s
}

// Inventory returns a copy of the last applied inventory, or of the one to apply if none was applied yet, with the addresses
// of the stand-ins.
func (c *Cluster) Inventory() model.Inventory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cloneInventory(c.inventory)
}

func (c *Cluster) setInventory(inv model.Inventory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inventory = inv
}

// markLeaving records that servers are leaving now and marks them as leaving in the platform's instance list.
func (c *Cluster) markLeaving(names []model.ServerName) {
	now := time.Now()
	c.mu.Lock()
	for _, name := range names {
		c.leaveTimes[name] = now
	}
	c.mu.Unlock()
	c.Platform.SetInstances(c.instances(c.Inventory()))
}

func (c *Cluster) instanceState(name model.ServerName) platform.InstanceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leaveTimes[name]; ok {
		return platform.InstanceLeaving
	}
	return platform.InstanceLive
}

// LeaveTimes returns the time at which each leaving server was marked as leaving.
func (c *Cluster) LeaveTimes() map[model.ServerName]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.leaveTimes)
}

// Stop stops the daemons and then the stand-ins.
func (c *Cluster) Stop() {
	if c.stopLoadBalancer != nil {
		c.stopLoadBalancer()
	}
	var stopping sync.WaitGroup
	for _, m := range c.members() {
		stopping.Go(m.daemon.Stop)
	}
	stopping.Wait()
	if c.platform != nil {
		// Close ends open watches.
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
