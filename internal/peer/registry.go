package peer

import (
	"context"
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// MethodRegistry is the method that returns what a peer has received from the store.
const MethodRegistry = ServiceQueries + ".Registry"

// RegistryRequest asks a peer for what it has received from the store after a revision. The peer answers as soon as it has a
// later revision than the requester, has had the same one confirmed more recently, has marked
// further servers as leaving, or has lost contact with the store, and after Wait at the latest.
type RegistryRequest struct {
	// Era and After are the requester's era and revision of the store; an After of 0 requests all entries.
	Era   directory.Era
	After directory.Revision
	// KnowsEras means that Era is set. Requesters of earlier versions compare revisions only, so that the peer takes them to be of its
	// own era.
	KnowsEras bool
	// Age is the time since the store was last known to the requester to be at After. It is relative because daemons have no
	// common clock.
	Age  time.Duration
	Wait time.Duration
	// NeedsVerification means that the requester needs to know how old its data can be at most, and VerifiedAge is what it knows;
	// gossip.UnknownAge if it knows nothing. The peer then also answers as soon as it has a later verification.
	NeedsVerification bool
	VerifiedAge       time.Duration
	// StatesRouting means that the requester's routing configuration is of RoutingVersion, 0 if it has none, and that no newer one had
	// been acknowledged AcknowledgedAge ago. Requesters of earlier versions do not state this, and get such data with changes only.
	StatesRouting   bool
	RoutingVersion  model.RoutingVersion
	AcknowledgedAge time.Duration
	// Leaving lists the servers that the requester marked as leaving since its last request to the peer; at most
	// registry.MaxLeaving.
	Leaving []model.LeavingServer
	// LeavingAfter is the LeavingUpTo of the peer's last reply, or 0. Without ExchangesLeaving, which earlier versions do not
	// send, the peer reports no leaving servers: they would be news to the requester on every call.
	LeavingAfter     directory.LeavingSequence
	ExchangesLeaving bool
}

// RegistryReply is what a peer has received from the store.
type RegistryReply struct {
	Era      directory.Era
	Revision directory.Revision
	// Complete means that the reply lists all entries.
	Complete bool
	// Version, Routes, Services and Limits are the routing configuration. Version is 0 if the reply contains none.
	Version  model.RoutingVersion
	Routes   []model.Route
	Services []model.BackendService
	Limits   model.CallerLimits
	// Workspaces are valid if KeysRequired is set.
	Workspaces   []model.Workspace
	KeysRequired bool
	Servers      []registry.ServerEntry
	Members      []registry.MemberEntry
	Evacuations  []registry.Evacuation
	// Leaving lists the servers that the peer marked as leaving after the request's LeavingAfter, at most registry.MaxLeaving,
	// and LeavingUpTo is the sequence number up to which the list is complete.
	Leaving     []model.LeavingServer
	LeavingUpTo directory.LeavingSequence
	// Age is the time since the store was last known to the peer to be at Revision.
	Age time.Duration
	// Verified means that VerifiedAge is set, which happens only if the request has NeedsVerification, as for Held. VerifiedAge is how old
	// the peer's data could be at most when the reply was sent. Held is how long the peer held the request, from which the requester
	// computes the earliest time of the reply.
	Verified    bool
	VerifiedAge time.Duration
	Held        time.Duration
	// EraKnown means that the store was in Era already EraAge before the reply was sent. Acknowledged means that no routing
	// configuration newer than AcknowledgedVersion had been acknowledged AcknowledgedAge before it. Both are set only if the request has
	// NeedsVerification, and never by peers of earlier versions.
	EraKnown            bool
	EraAge              time.Duration
	Acknowledged        bool
	AcknowledgedAge     time.Duration
	AcknowledgedVersion model.RoutingVersion
	// Restored means that the store has answered the peer again after an outage. SinceRestored is how long ago that was.
	Restored      bool
	SinceRestored time.Duration
	// Lost means that the store does not answer the peer.
	Lost bool
	// Protocol is the protocol version that the peer supports.
	Protocol model.Protocol
}

// Registry asks the peer for what it has after the position at, and tells it the servers that this daemon marked as leaving.
// The peer answers after wait at the latest.
func (c *Client) Registry(
	ctx context.Context, address string, at gossip.Position, leaving []model.LeavingServer, wait time.Duration,
) (registry.PeerUpdate, error) {
	var r RegistryReply
	begin := boottime.Now()
	req := NewRegistryRequest(at, leaving, wait, time.Now(), begin)
	if err := c.callWithWait(ctx, wait, address, MethodRegistry, req, &r); err != nil {
		return registry.PeerUpdate{}, err
	}
	return r.PeerUpdate(time.Now(), begin, boottime.Now()), nil
}

// NewRegistryRequest returns the request of a daemon at a position, with ages relative to now, which is begin in boot time.
func NewRegistryRequest(
	at gossip.Position, leaving []model.LeavingServer, wait time.Duration, now time.Time, begin boottime.Time,
) RegistryRequest {
	r := RegistryRequest{
		Era: at.Era, KnowsEras: true, After: at.Revision, Age: now.Sub(at.ConfirmedAt), Wait: wait, Leaving: leaving, LeavingAfter: at.Leaving,
		ExchangesLeaving: true, StatesRouting: true, RoutingVersion: at.Acknowledged.Version,
	}
	if at.NeedsVerification {
		r.NeedsVerification, r.VerifiedAge, r.AcknowledgedAge = true, at.VerifiedAge(begin), at.Acknowledged.Age(begin)
	}
	return r
}

// Position returns the requester's position, with times relative to now, which is received in boot time.
func (r *RegistryRequest) Position(now time.Time, received boottime.Time) gossip.Position {
	p := gossip.Position{
		Era: r.Era, Revision: r.After, ConfirmedAt: now.Add(-r.Age), Leaving: r.LeavingAfter, NeedsVerification: r.NeedsVerification,
	}
	if !r.ExchangesLeaving {
		p.Leaving = math.MaxUint64
	}
	if r.NeedsVerification && r.VerifiedAge < gossip.UnknownAge {
		p.VerifiedAt = received.Add(-r.VerifiedAge)
	}
	p.Acknowledged = r.acknowledgement(received)
	return p
}

// acknowledgement returns what the requester knows of acknowledged configurations. For one that does not state it, it is the latest
// possible, so that nothing is news to it.
func (r *RegistryRequest) acknowledgement(received boottime.Time) gossip.Acknowledgement {
	if !r.StatesRouting {
		return gossip.Acknowledgement{At: math.MaxInt64, Version: math.MaxUint64}
	}
	a := gossip.Acknowledgement{Version: r.RoutingVersion}
	if r.NeedsVerification && r.AcknowledgedAge < gossip.UnknownAge {
		a.At = received.Add(-r.AcknowledgedAge)
	}
	return a
}

// SetVerification states how old the data of an update can be at most, for a request that was received and is answered at the given
// times.
func (r *RegistryReply) SetVerification(u *registry.Update, received, sent boottime.Time) {
	r.Held = sent.Sub(received)
	if !u.VerifiedAt.IsZero() {
		r.Verified, r.VerifiedAge = true, sent.Sub(u.VerifiedAt)
	}
	if !u.EraKnownAt.IsZero() {
		r.EraKnown, r.EraAge = true, sent.Sub(u.EraKnownAt)
	}
	if !u.Acknowledged.At.IsZero() {
		r.Acknowledged, r.AcknowledgedAge, r.AcknowledgedVersion = true, u.Acknowledged.Age(sent), u.Acknowledged.Version
	}
}

// NewRegistryReply returns the reply for an update, with ages relative to now.
func NewRegistryReply(u *registry.PeerUpdate, now time.Time) RegistryReply {
	r := RegistryReply{
		Era: u.Era, Revision: u.Revision, Complete: u.Complete, Servers: u.Servers, Members: u.Members, Evacuations: u.Evacuations,
		Leaving: u.Leaving, LeavingUpTo: u.LeavingUpTo, Age: now.Sub(u.ConfirmedAt), Lost: u.StoreUnreachable,
	}
	if u.Routing != nil {
		r.Version, r.Routes, r.Services, r.Limits = u.Routing.Version, u.Routing.Routes, u.Routing.Services, u.Routing.Limits
		r.Workspaces, r.KeysRequired = u.Routing.Workspaces, u.Routing.KeysRequired
	}
	if !u.StoreRestoredAt.IsZero() {
		r.Restored, r.SinceRestored = true, now.Sub(u.StoreRestoredAt)
	}
	return r
}

// PeerUpdate returns the update in the reply, with its times computed from the ages and now. begin and end are the boot times at which
// the call began and ended.
func (r *RegistryReply) PeerUpdate(now time.Time, begin, end boottime.Time) registry.PeerUpdate {
	u := registry.PeerUpdate{
		Update: registry.Update{
			Era: r.Era, Revision: r.Revision, Complete: r.Complete, Servers: r.Servers, Members: r.Members, Evacuations: r.Evacuations,
		},
		Leaving:          r.Leaving,
		LeavingUpTo:      r.LeavingUpTo,
		ConfirmedAt:      now.Add(-r.Age),
		StoreUnreachable: r.Lost,
		Protocol:         r.Protocol,
	}
	if r.Version != 0 {
		u.Routing = model.NewRouting(r.Version, r.Routes, r.Services, r.Limits)
		if r.KeysRequired {
			u.Routing = u.Routing.WithWorkspaces(r.Workspaces)
		}
	}
	if r.Verified {
		u.VerifiedAt = gossip.VerifiedByReply(begin, r.Held, r.VerifiedAge)
	}
	if r.EraKnown {
		// Unlike a verification, this must not appear earlier than it is, so it counts from the end of the call.
		u.EraKnownAt = end.Add(-r.EraAge)
	}
	if r.Acknowledged {
		u.Acknowledged.At = gossip.VerifiedByReply(begin, r.Held, r.AcknowledgedAge)
		u.Acknowledged.Version = r.AcknowledgedVersion
	}
	if r.Restored {
		u.StoreRestoredAt = now.Add(-r.SinceRestored)
	}
	return u
}
