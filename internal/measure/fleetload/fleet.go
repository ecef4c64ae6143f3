package fleetload

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/daemon/control"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/tables"
)

const (
	loopback = "127.0.0.1:0"
	token    = "fleet measurement"
	// dialTimeout limits the time to open a connection to the platform.
	dialTimeout = 2 * time.Second
)

// member is the control plane of one daemon.
type member struct {
	config *tables.Config
	client *platformhttp.Client
	// controlPlane is nil while the daemon is stopped.
	controlPlane *control.Plane
	// otherTraffic counts the traffic with the platform, and that with peers before the last restart.
	otherTraffic peer.Traffic
	name         model.InstanceID
	zone         model.AvailabilityZone
	address      string
}

// traffic returns the bytes sent and received since the first start, across restarts.
func (m *member) traffic() (sent, received int64) {
	sent, received = m.otherTraffic.Sent.Load(), m.otherTraffic.Received.Load()
	if m.controlPlane != nil {
		sent += m.controlPlane.Traffic.Sent.Load()
		received += m.controlPlane.Traffic.Received.Load()
	}
	return sent, received
}

// open opens the control plane without starting it. The operating system chooses the peer port at the first start; restarts
// reuse it.
func (m *member) open(platformAddress string) error {
	m.config = tables.NewConfig()
	m.client = platformhttp.NewWithDialer(platformAddress, m.dialPlatform)
	m.client.Identify(m.name, m.zone)
	plane, err := control.Open(control.Config{
		Instance: m.name, Zone: m.zone, PeerAddress: m.address, PeerToken: token,
		Dial:  (&net.Dialer{}).DialContext,
		Store: m.client, Instances: m.client, Config: m.config, Servers: tables.NewServers(),
		Validate: func(base *model.Inventory, inv model.Inventory, rules model.Rules) error {
			return document.ValidateIncremental(base, inv, rules).Err()
		},
		ApplyTopology: func(*model.Topology, time.Time) {},
		Draining:      func() bool { return false },
		Log:           zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	m.controlPlane = plane
	m.address = plane.Members.Self().Address
	return nil
}

func (m *member) dialPlatform(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return m.otherTraffic.WrapConn(conn), nil
}

func (m *member) close() {
	if m.controlPlane == nil {
		return
	}
	m.controlPlane.Close()
	m.client.Close()
	m.otherTraffic.Sent.Add(m.controlPlane.Traffic.Sent.Load())
	m.otherTraffic.Received.Add(m.controlPlane.Traffic.Received.Load())
	m.controlPlane = nil
}

// fleet is the daemons of a measurement with their platform stand-in.
type fleet struct {
	platform        *platformserver.Server
	platformAddress string
	members         []*member
	zones           int
	instances       []platform.Instance
	stop            func()
	revision        model.Revision
}

func newFleet(daemons, zones int) (*fleet, error) {
	f := &fleet{platform: platformserver.New(), zones: zones}
	endpoint, err := f.platform.Listen(loopback, "")
	if err != nil {
		return nil, err
	}
	f.stop = endpoint.Close
	f.platformAddress = endpoint.Address()
	for i := range daemons {
		f.members = append(f.members, &member{
			name:    model.InstanceID(fmt.Sprintf("entry-%04d", i)),
			zone:    zoneName(i % zones),
			address: loopback,
		})
	}
	return f, nil
}

// start starts all daemons at once, after opening their ports and listing them on the platform.
func (f *fleet) start() error {
	list := make([]platform.Instance, 0, len(f.members))
	for _, m := range f.members {
		if err := m.open(f.platformAddress); err != nil {
			return err
		}
		list = append(list, platform.Instance{
			Name: string(m.name), Role: platform.RoleEntry, Zone: m.zone, Address: m.address, State: platform.InstanceLive,
		})
	}
	f.instances = list
	f.platform.SetInstances(list)
	for _, m := range f.members {
		m.controlPlane.Start()
	}
	return nil
}

// listLeaving adds the i-th leaving server to the platform's instance list and returns its name.
func (f *fleet) listLeaving(i int) model.ServerName {
	name := fmt.Sprintf("leaving-%d", i)
	f.instances = append(f.instances, platform.Instance{
		Name: name, Role: platform.RoleServer, Zone: zoneName(0), State: platform.InstanceLeaving,
	})
	f.platform.SetInstances(f.instances)
	return model.ServerName(name)
}

func (f *fleet) closeMembers() {
	ended := make(chan struct{})
	for _, m := range f.members {
		go func() {
			m.close()
			ended <- struct{}{}
		}()
	}
	for range f.members {
		<-ended
	}
}

func (f *fleet) storeCallCount() int {
	calls := 0
	for _, c := range f.platform.Counts() {
		calls += c.Calls
	}
	return calls
}

func (f *fleet) relays() int {
	n := 0
	for _, m := range f.members {
		if m.controlPlane.Status.Read(time.Now()).Relay {
			n++
		}
	}
	return n
}
