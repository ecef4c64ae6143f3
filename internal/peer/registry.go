package peer

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// MethodRegistry asks a peer what it heard from the store.
const MethodRegistry = ServiceQueries + ".Registry"

// RegistryRequest asks a peer what it heard from the store after a revision. The peer answers as soon as it knows more than
// the caller, has heard the store again or has lost it, and after Wait at the latest.
type RegistryRequest struct {
	// After is the revision that the caller has reached; 0 asks for everything.
	After directory.Revision
	// Age is the time since the caller knew that After was the store's revision.
	Age  time.Duration
	Wait time.Duration
}

// RegistryReply is what a peer heard from the store.
type RegistryReply struct {
	Revision directory.Revision
	// Complete tells that the reply lists everything.
	Complete bool
	// Version is 0 if the reply brings no configuration.
	Version  model.RoutingVersion
	Routes   []model.Route
	Services []model.BackendService
	Limits   model.CallerLimits
	Servers  []registry.ServerEntry
	Members  []registry.MemberEntry
	// Age is the time since the peer heard that the store was at Revision.
	Age time.Duration
	// Restored tells that the store answered the peer again after it had not, SinceRestored ago.
	Restored      bool
	SinceRestored time.Duration
	// Lost tells that the store does not answer the peer.
	Lost bool
}

// Registry asks the peer what it heard from the store and a caller at the given position lacks.
func (c *Client) Registry(
	ctx context.Context, address string, at spread.Position, wait time.Duration,
) (registry.PeerUpdate, error) {
	var r RegistryReply
	req := RegistryRequest{After: at.Revision, Age: time.Since(at.ConfirmedAt), Wait: wait}
	if err := c.callWaiting(ctx, wait, address, MethodRegistry, req, &r); err != nil {
		return registry.PeerUpdate{}, err
	}
	return r.PeerUpdate(time.Now()), nil
}

// NewRegistryReply returns the reply that tells of news at now.
func NewRegistryReply(n *registry.PeerUpdate, now time.Time) RegistryReply {
	r := RegistryReply{
		Revision: n.Revision, Complete: n.Complete, Servers: n.Servers, Members: n.Members,
		Age: now.Sub(n.ConfirmedAt), Lost: n.StoreUnreachable,
	}
	if n.Routing != nil {
		r.Version, r.Routes, r.Services, r.Limits = n.Routing.Version, n.Routing.Routes, n.Routing.Services, n.Routing.Limits
	}
	if !n.StoreRestoredAt.IsZero() {
		r.Restored, r.SinceRestored = true, now.Sub(n.StoreRestoredAt)
	}
	return r
}

// PeerUpdate returns what the reply tells, with the peer's ages taken from now.
func (r *RegistryReply) PeerUpdate(now time.Time) registry.PeerUpdate {
	n := registry.PeerUpdate{
		Update:           registry.Update{Revision: r.Revision, Complete: r.Complete, Servers: r.Servers, Members: r.Members},
		ConfirmedAt:      now.Add(-r.Age),
		StoreUnreachable: r.Lost,
	}
	if r.Version != 0 {
		n.Routing = model.NewRouting(r.Version, r.Routes, r.Services, r.Limits)
	}
	if r.Restored {
		n.StoreRestoredAt = now.Add(-r.SinceRestored)
	}
	return n
}
