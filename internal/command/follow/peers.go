package follow

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// peerBound is the time that a peer may take to answer at once.
const peerBound = 300 * time.Millisecond

// followPeer waits for news from a daemon, until what this one knows of the store is too old.
func (f *Follower) followPeer(ctx context.Context, r *reading, source model.Member) {
	at := f.deps.Registry.Position()
	fresh := f.deps.Freshness
	left := fresh.MaxAge() - time.Since(at.ConfirmedAt)
	if left <= fresh.PeerReplyMargin() {
		r.direct = true
		return
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	n, err := f.deps.Peers.Registry(bounded, source.Address, at, left-fresh.PeerReplyMargin())
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.rest(r, source, spread.SourceUnresponsive, err)
		return
	}
	f.takeNews(&n)
	if n.Lost || time.Since(n.Heard) > fresh.MaxAge()-fresh.PeerReplyMargin() {
		f.rest(r, source, spread.SourceStale, nil)
	}
}

// rest stops following a daemon for a while; the store is read next.
func (f *Follower) rest(r *reading, source model.Member, fault spread.SourceFault, err error) {
	now, at := time.Now(), f.deps.Registry.Position()
	r.sources.Exclude(source.Instance, fault, now)
	r.direct = true
	f.deps.Log.Warn().Err(err).Str("source", string(source.Instance)).Bool("late", fault == spread.SourceStale).
		Dur("heard_ago", now.Sub(at.ConfirmedAt)).Uint64("revision", uint64(at.Revision)).Msg("store_source_rested")
}

func (f *Follower) takeNews(n *registry.News) {
	if !n.Restored.IsZero() {
		f.deps.Registry.SetStoreRestored(n.Restored)
	}
	f.deps.Config.RecordStoreContact(n.Heard)
	f.take(&n.Update, sourcePeer, n.Heard)
}

// askPeer takes what one other daemon knows while the store does not answer this one: the next in turn of those that are
// known, or of the seeds.
func (f *Follower) askPeer(ctx context.Context, r *reading) {
	if f.deps.Peers == nil {
		return
	}
	addresses := f.peerAddresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[r.asked%len(addresses)]
	r.asked++
	at := f.deps.Registry.Position()
	bounded, cancel := context.WithTimeout(ctx, peerBound)
	defer cancel()
	n, err := f.deps.Peers.Registry(bounded, address, at, 0)
	if err != nil {
		f.deps.Log.Info().Err(err).Str("peer", address).Msg("peer_not_asked")
		return
	}
	if n.Revision <= at.Revision || (n.Routing == nil && n.Complete) {
		return
	}
	f.takeNews(&n)
	r.synced = r.synced || n.Complete
}

// peerAddresses returns the addresses of the other daemons that are known.
func (f *Follower) peerAddresses() []string {
	var out []string
	for _, m := range f.deps.Registry.Members() {
		if m.Address != "" && m.Instance != f.deps.Self.Instance {
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
