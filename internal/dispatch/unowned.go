package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// idleDelay is how long after the end of an attempt its connection is certainly idle: a transport makes it so concurrently with
// the return of the reply.
const idleDelay = 20 * time.Millisecond

// otherOwner returns the owner of a server, or false if this daemon owns it, if no daemon does, or if the owner may not receive
// requests with the policy, which may be nil.
func (f *Forwarding) otherOwner(s *tables.Server, p *model.RequestPolicy) (model.Member, bool) {
	owner, ok := s.Owner(f.owners.View(), time.Now())
	if !ok || owner.Instance == f.self.Instance {
		return model.Member{}, false
	}
	return owner, ownership.RequirementsOf(p).Admit(&owner, f.d.regionOf(owner.Zone))
}

// mayConnect reports whether this daemon may send to the server itself: the server accepts connections of all daemons, this one
// owns it, or no daemon is known that does.
func (d *Dispatcher) mayConnect(s *tables.Server) bool {
	if d.forwarding == nil || !s.OwnerOnly(time.Now()) {
		return true
	}
	_, other := d.forwarding.otherOwner(s, nil)
	return !other
}

// closeUnowned closes this daemon's idle connections to a server that only its owner may send to, if that is another daemon.
// There are some after this daemon owned the server, or sent attempts of a daemon that considers it the owner. The new owner
// could open none of its own.
func (d *Dispatcher) closeUnowned(s *tables.Server) {
	if !d.mayConnect(s) && s.TakeOpened() {
		s.Client().Close()
	}
}

// closeLost closes the connections to servers that this daemon has ceased to own since the last call.
func (f *Forwarding) closeLost() {
	version := f.owners.View().Version
	if version == f.closedView {
		return
	}
	f.closedView = version
	for _, s := range f.d.Servers.All() {
		f.d.closeUnowned(s)
	}
}
