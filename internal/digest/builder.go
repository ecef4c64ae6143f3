package digest

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// Builder builds digests from the shared tables.
type Builder struct {
	Members    *tables.Members
	Departures *tables.Departures
	Config     *tables.Config
}

// Build returns a digest of the state at now. rnd selects which members and departures are included.
func (b *Builder) Build(now time.Time, rnd *rand.Rand) peer.Digest {
	self := b.Members.Self()
	d := peer.Digest{
		From:       self,
		InForce:    b.Config.Document().Offer,
		Members:    gossip.DigestEntries(self, b.Members.Snapshot(nil), now, rnd),
		Departures: b.Departures.Sample(now, peer.MaxDepartures, rnd),
	}
	if contact := b.Config.StoreContact(); !contact.IsZero() {
		d.StoreContactMs = contact.UnixMilli()
	}
	return d
}
