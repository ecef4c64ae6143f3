package peer

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// MethodRegistry asks a peer what it last heard from the store.
const MethodRegistry = ServiceQueries + ".Registry"

// RegistryRequest asks a peer what it last heard from the store.
type RegistryRequest struct{}

// RegistryReply is what a daemon last heard from the store. Version is 0 if it has no configuration.
type RegistryReply struct {
	Revision directory.Revision
	Version  model.RoutingVersion
	Routes   []model.Route
	Services []model.BackendService
	Limits   model.CallerLimits
	Servers  []model.Registration
	Members  []model.Member
	// Age is the time since the daemon heard the store.
	Age time.Duration
}

// Registry asks the peer what it last heard from the store. The update brings no routing configuration if the peer has none.
func (c *Client) Registry(ctx context.Context, address string) (registry.Update, error) {
	var r RegistryReply
	if err := c.call(ctx, address, MethodRegistry, RegistryRequest{}, &r); err != nil {
		return registry.Update{}, err
	}
	u := registry.Update{Revision: r.Revision}
	if r.Version != 0 {
		u.Routing = model.NewRouting(r.Version, r.Routes, r.Services, r.Limits)
	}
	for _, s := range r.Servers {
		u.Servers = append(u.Servers, registry.ServerEntry{Name: s.Name, Revision: r.Revision, Registration: s})
	}
	for _, m := range r.Members {
		u.Members = append(u.Members, registry.MemberEntry{Instance: m.Instance, Member: m})
	}
	return u, nil
}
