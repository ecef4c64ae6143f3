package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/commandrpc"
	"oleandersill.example/oleandersill/internal/command/fleet"
	"oleandersill.example/oleandersill/internal/digest"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/query/queryrpc"
	"oleandersill.example/oleandersill/internal/query/status"
	"oleandersill.example/oleandersill/internal/tables"
)

// ErrNoToken means that the peers' port would listen on an address other than loopback without a token.
var ErrNoToken = errors.New("control: the peers' port needs a token on an address other than loopback")

// Limits of the HTTP server on the peers' port. They apply until a connection is hijacked for RPC.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// Config configures a Plane.
type Config struct {
	Instance model.InstanceID
	Zone     model.AvailabilityZone
	// PeerAddress is the address to listen on, host:port. If it is empty, the port stays closed and peers cannot reach the
	// daemon.
	PeerAddress string
	PeerToken   string
	// Seeds are the addresses of peers to contact first while the platform is unreachable.
	Seeds     []string
	Dial      peer.DialFunc
	Store     platform.Reader
	Instances platform.InstanceList
	Config    *tables.Config
	Servers   *tables.Servers
	// Validate returns an error for a configuration that must not be installed. The first inventory is the current one, or
	// nil if there is none; the second inventory shares its unchanged services.
	Validate func(*model.Inventory, model.Inventory, model.Rules) error
	// ApplyTopology is called with every Topology and the current time before the Topology is installed.
	ApplyTopology func(*model.Topology, time.Time)
	// OwnersJoined, if set, is called with daemons that have become able to own servers. It must not block.
	OwnersJoined func([]model.Member)
	// Draining reports whether the daemon is shutting down.
	Draining func() bool
	Log      zerolog.Logger
}

// Plane is a daemon's control plane. Create it with Open, start it with Start and stop it with Close.
type Plane struct {
	// Members holds the other daemons, and Departures the servers that are marked as leaving.
	Members    *tables.Members
	Departures *tables.Departures
	Status     *status.Reader
	Agent      *fleet.Agent
	// Owners holds the daemons of each zone that may own servers.
	Owners *tables.Owners
	// DataClient forwards sub-requests to peers. Its connections are separate from those of the control plane, so that
	// neither kind of traffic delays the other.
	DataClient *peer.Client
	// Traffic counts the bytes on the connections that the control plane opened, and on those that peers opened.
	Traffic peer.Traffic

	client      *peer.Client
	queries     *queryrpc.Service
	dataTraffic peer.Traffic
	server      *peer.Server
	http        *http.Server
	listener    net.Listener
	log         zerolog.Logger
	wg          sync.WaitGroup
}

// Open opens the peers' port, whose address the daemon announces to its peers, and creates the tables. The Plane sends no
// requests and serves none before Start.
func Open(cfg Config) (*Plane, error) {
	p := &Plane{Departures: tables.NewDepartures(), Owners: tables.NewOwners(), log: cfg.Log}
	self := model.Member{
		Instance:    cfg.Instance,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		Zone:        cfg.Zone,
	}
	if cfg.PeerAddress != "" {
		if err := p.listen(cfg); err != nil {
			return nil, err
		}
		self.Address = p.listener.Addr().String()
	}
	p.Members = tables.NewMembers(self)
	p.Status = &status.Reader{Config: cfg.Config, Members: p.Members, Departures: p.Departures, Draining: cfg.Draining}
	p.client = newClient(cfg, &p.Traffic, peer.MaxControlConns)
	p.DataClient = newClient(cfg, &p.dataTraffic, peer.MaxDataConns)
	seed := xxhash.Sum64String(string(cfg.Instance)) ^ uint64(self.Incarnation) //nolint:gosec // any 64-bit value is a valid seed
	p.Agent = fleet.New(fleet.Deps{
		Members:       p.Members,
		Departures:    p.Departures,
		Owners:        p.Owners,
		Config:        cfg.Config,
		Servers:       cfg.Servers,
		Store:         cfg.Store,
		Instances:     cfg.Instances,
		Peers:         p.client,
		Seeds:         cfg.Seeds,
		Validate:      cfg.Validate,
		ApplyTopology: cfg.ApplyTopology,
		OwnersJoined:  cfg.OwnersJoined,
		RandomSeed:    seed,
		Log:           cfg.Log,
	})
	digests := &digest.Builder{Members: p.Members, Departures: p.Departures, Config: cfg.Config}
	p.server = peer.NewServer(tables.OrderPeers, cfg.PeerToken, &p.Traffic)
	p.server.Register(peer.ServiceCommands, commandrpc.New(p.Agent))
	p.queries = queryrpc.New(digests, cfg.Config, p.Status, p.Agent, seed)
	p.server.Register(peer.ServiceQueries, p.queries)
	return p, nil
}

func newClient(cfg Config, traffic *peer.Traffic, conns int) *peer.Client {
	return peer.NewClient(peer.ClientConfig{
		Order: tables.OrderPeers, Token: cfg.PeerToken, Traffic: traffic, Dial: cfg.Dial, MaxConns: conns,
	})
}

// SetReceiver sets the receiver of forwarded sub-requests. Call it before Start.
func (p *Plane) SetReceiver(r queryrpc.Receiver) { p.queries.SetReceiver(r) }

func (p *Plane) listen(cfg Config) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cfg.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "control: listening for peers")
	}
	if a, ok := l.Addr().(*net.TCPAddr); cfg.PeerToken == "" && (!ok || !a.IP.IsLoopback()) {
		_ = l.Close()
		return ErrNoToken
	}
	p.listener = l
	return nil
}

// Start starts the agent and serves the peers' port.
func (p *Plane) Start() {
	p.Agent.Start()
	if p.listener == nil {
		return
	}
	p.http = &http.Server{Handler: p.server, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	p.wg.Go(func() {
		if err := p.http.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error().Err(err).Msg("peer_listener_failed")
		}
	})
}

// Close stops the agent and closes the peers' port and all connections to peers. The Plane need not have been started.
func (p *Plane) Close() {
	p.Agent.Close()
	p.client.Close()
	p.DataClient.Close()
	switch {
	case p.http != nil:
		_ = p.http.Close()
		p.server.Close()
	case p.listener != nil:
		_ = p.listener.Close()
	}
	p.wg.Wait()
}
