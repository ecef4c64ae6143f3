package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// peerTimeout limits a call to a peer that is asked to reply without waiting for changes.
const peerTimeout = 300 * time.Millisecond

// followPeer long-polls a daemon for changes of the store until this daemon's own data reaches its maximum age, and applies
// them. If the data is too old already, the store is read next.
func (f *Follower) followPeer(ctx context.Context, r *readState, source model.Member) {
	at, age := f.position()
	fresh := f.deps.Freshness
	if fresh.Old(age) {
		r.readStoreNext = true
		return
	}
	remaining := fresh.MaxAge() - age
	callCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	r.leaving.with(source)
	at.Leaving = r.leaving.received
	leaving, sent := f.deps.Registry.LeavingAfter(r.leaving.sent)
	update, err := f.deps.Peers.Registry(callCtx, source.Address, at, leaving, remaining-fresh.PeerReplyMargin())
	if ctx.Err() != nil {
		return
	}
	if err == nil && !f.suitable(&update) {
		err = errOlderProtocol
	}
	if err != nil {
		f.excludeSource(r, source, gossip.SourceUnresponsive, err)
		return
	}
	r.leaving.sent, r.leaving.received = sent, update.LeavingUpTo
	f.applyPeerUpdate(&update)
	if update.Era < at.Era || update.StoreUnreachable || fresh.Old(f.updateAge(&update)) {
		f.excludeSource(r, source, gossip.SourceStale, nil)
		return
	}
	r.failedSources = 0
}

// errOlderProtocol means that a daemon supports a lower protocol version than this one.
var errOlderProtocol = errors.New("follow: the daemon supports a lower protocol version")

// suitable reports whether the sender of an update supports the protocol version of this daemon. Updates of lower versions lack
// fields that this daemon needs.
func (f *Follower) suitable(u *registry.PeerUpdate) bool { return u.Protocol >= f.deps.Self.Protocol }

// maxFailedSources is how many sources in a row are tried before the store is read. Usually the next one has read the store
// by then, and the store is spared the calls of a whole zone.
const maxFailedSources = 3

// excludeSource stops following a daemon for a while. The next source is followed, or the store is read after several failures;
// followPeer reads the store in any case once the data is too old.
func (f *Follower) excludeSource(r *readState, source model.Member, fault gossip.SourceFault, err error) {
	now, at := time.Now(), f.deps.Registry.Position()
	r.sources.Exclude(source.Instance, fault, now)
	r.failedSources++
	if r.failedSources >= maxFailedSources {
		r.readStoreNext, r.failedSources = true, 0
	}
	f.deps.Log.Warn().Err(err).Str("source", string(source.Instance)).Bool("late", fault == gossip.SourceStale).
		Dur("heard_ago", now.Sub(at.ConfirmedAt)).Uint64("revision", uint64(at.Revision)).Msg("store_source_rested")
}

// applyPeerUpdate applies the data of another daemon. If that daemon does not know the store's present era yet, only its leaving
// servers are applied.
func (f *Follower) applyPeerUpdate(u *registry.PeerUpdate) {
	f.ObserveLeaving(u.Leaving)
	if u.Era < f.deps.Registry.Position().Era {
		return
	}
	if !u.StoreRestoredAt.IsZero() {
		f.deps.Registry.SetStoreRestored(u.StoreRestoredAt)
	}
	if u.EraKnownAt.IsZero() {
		// A daemon of an earlier version does not say for how long the store has been in its era.
		u.EraKnownAt = f.deps.BootTime()
	}
	f.deps.Config.RecordStoreContact(u.ConfirmedAt)
	f.applyUpdate(&u.Update, sourcePeer, u.ConfirmedAt)
}

// queryPeer gets the data of one other daemon while the store does not answer this one, or may lack what it had acknowledged. It tries
// the addresses of peerAddresses in turn, and reports whether the daemon answered.
func (f *Follower) queryPeer(ctx context.Context, r *readState) (answered bool) {
	if f.deps.Peers == nil {
		return false
	}
	addresses := f.peerAddresses()
	if len(addresses) == 0 {
		return false
	}
	address := addresses[r.peersAsked%len(addresses)]
	r.peersAsked++
	at, _ := f.position()
	leaving, _ := f.deps.Registry.LeavingAfter(0)
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := f.deps.Peers.Registry(callCtx, address, at, leaving, 0)
	if err == nil && !f.suitable(&update) {
		err = errOlderProtocol
	}
	if err != nil {
		f.deps.Log.Info().Err(err).Str("peer", address).Msg("peer_not_asked")
		return false
	}
	f.ObserveLeaving(update.Leaving)
	if !helps(&update, &at) || (update.Routing == nil && update.Complete) {
		return true
	}
	f.applyPeerUpdate(&update)
	if !r.synced {
		r.synced = update.Complete
	}
	return true
}

// helps reports whether another daemon's update contains what a daemon at a position lacks.
func helps(u *registry.PeerUpdate, at *gossip.Position) bool {
	if at.Point().Before(u.Point()) {
		return true
	}
	if u.Era != at.Era || u.Complete {
		return false
	}
	verifies := u.VerifiedAt > at.VerifiedAt || u.Acknowledged.At > at.Acknowledged.At
	return u.Routing != nil || (at.NeedsVerification && verifies)
}

// peerAddresses returns the addresses of the other known daemons that support the protocol version of this one, or of the seeds if
// there are none.
func (f *Follower) peerAddresses() []string {
	var out []string
	for _, m := range f.deps.Registry.Members() {
		if m.Address != "" && m.Instance != f.deps.Self.Instance && m.Protocol >= f.deps.Self.Protocol {
			out = append(out, m.Address)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range f.deps.Seeds {
		if address != f.deps.Self.Address {
			out = append(out, address)
		}
	}
	return out
}
