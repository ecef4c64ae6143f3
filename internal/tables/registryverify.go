package tables

import (
	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
)

// applyVerification records the verification of an update that was applied. newRouting means that it contained a newer routing
// configuration. The caller holds mu.
func (t *Registry) applyVerification(u *registry.Update, newRouting bool) {
	if !u.EraKnownAt.IsZero() {
		t.verification.EraKnown(u.EraKnownAt)
	}
	t.verification.Advance(u.VerifiedAt, newRouting)
	if t.routingVersion() >= u.Acknowledged.Version {
		t.verification.Acknowledge(u.Acknowledged.At)
	}
}

// acknowledgement returns what is known of acknowledged configurations. The caller holds mu.
func (t *Registry) acknowledgement() gossip.Acknowledgement {
	return gossip.Acknowledgement{At: t.verification.Acknowledged(), Version: t.routingVersion()}
}

// AcknowledgedInForce returns a time by which no routing configuration newer than the one that was last installed had been
// acknowledged by the store; zero if it is not known.
func (t *Registry) AcknowledgedInForce() boottime.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verification.InForce()
}

// SettledAt returns the time from which the store's content includes all that was acknowledged before its present era, or zero.
func (t *Registry) SettledAt() boottime.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verification.SettledAt()
}

// RoutingInstalled records that a routing configuration is in force. Until the latest one is, AcknowledgedInForce is not later than for
// the one that it replaces.
func (t *Registry) RoutingInstalled(r *model.Routing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r == t.routing {
		t.verification.Installed()
	}
}
