package site

import (
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// Config describes a site.
type Config struct {
	// PlatformAddress is host:port; port 0 picks a free port.
	PlatformAddress string
	Inventory       model.Inventory
	// Server is the configuration that all servers share. The inventory overrides the fields that it specifies for a
	// server; each server gets a seed of its own.
	Server backendserver.Config
}

// Site is a running platform stand-in with the stand-ins for the servers of an inventory. The set of servers is fixed.
type Site struct {
	Platform *platformserver.Server
	// Record lists the executions of all servers.
	Record *backendserver.Record

	endpoint *netfault.Endpoint
	servers  map[model.ServerName]*backendserver.Server
}

// Start starts the stand-ins of a site, which serve until Close is called.
func Start(cfg Config) (*Site, error) {
	s := &Site{
		Platform: platformserver.New(),
		Record:   backendserver.NewRecord(),
		servers:  map[model.ServerName]*backendserver.Server{},
	}
	cfg.Server.Record = s.Record
	var err error
	if s.endpoint, err = s.Platform.Listen(cfg.PlatformAddress, ""); err != nil {
		return nil, err
	}
	for _, svc := range cfg.Inventory.Services {
		for _, sh := range svc.Shards {
			if err := s.startShard(cfg.Server, svc, sh); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	s.Platform.SetInstances(Instances(cfg.Inventory))
	return s, nil
}

func (s *Site) startShard(cfg backendserver.Config, svc model.ServiceSpec, sh model.ShardSpec) error {
	for _, spec := range sh.Servers {
		cfg.Name, cfg.Shard, cfg.Epoch = spec.Name, sh.Name, svc.ShardMapEpoch
		cfg.Slots, cfg.Connections = spec.Slots, spec.Connections
		cfg.ConnectionCost = time.Duration(spec.ConnectionCostMs * float64(time.Millisecond))
		// Servers with equal seeds would draw the same service times.
		cfg.Seed++
		server := backendserver.New(cfg)
		s.servers[spec.Name] = server
		if err := server.Start(spec.Address); err != nil {
			return errors.Wrapf(err, "server %s", spec.Name)
		}
	}
	return nil
}

// Instances returns the instances that the platform lists for the servers of an inventory.
func Instances(inv model.Inventory) []platform.Instance {
	var out []platform.Instance
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			for _, spec := range sh.Servers {
				instance := platform.Instance{
					Name: string(spec.Name), Role: platform.RoleServer, Zone: spec.Zone, Address: spec.Address,
					State: platform.InstanceLive,
				}
				if spec.Leaving {
					instance.State = platform.InstanceLeaving
				}
				out = append(out, instance)
			}
		}
	}
	return out
}

// PlatformAddress returns the address of the platform, host:port.
func (s *Site) PlatformAddress() string { return s.endpoint.Address() }

// Server returns a server by its name in the inventory; nil if there is none.
func (s *Site) Server(name model.ServerName) *backendserver.Server { return s.servers[name] }

// ServerCount returns the number of servers.
func (s *Site) ServerCount() int { return len(s.servers) }

// Close stops all stand-ins and waits until they have stopped.
func (s *Site) Close() {
	s.endpoint.Close()
	for _, server := range s.servers {
		server.Close()
	}
}
