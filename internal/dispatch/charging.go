package dispatch

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// spendExtra charges an extra attempt to this daemon's budget of the service. A daemon without routes has no such budgets.
func (d *Dispatcher) spendExtra(service model.ServiceName, fraction float64, now time.Time) bool {
	return d.ServiceBudgets != nil && d.ServiceBudgets.Spend(service, fraction, now)
}

// DaemonToCharge returns another daemon whose budget may be charged for a query's extra attempts at a server: a daemon in the
// server's zone or, if there is none, in this daemon's zone. It returns false if there is neither. All attempts of a query in a
// zone use the same daemon, so that they share a batch. If only the server's owner may send to it, it is the owner.
func (d *Dispatcher) DaemonToCharge(s *tables.Server, query model.RequestID, policy *model.RequestPolicy) (model.Member, bool) {
	f := d.forwarding
	if f == nil {
		return model.Member{}, false
	}
	if s.OwnerOnly(time.Now()) {
		return f.otherOwner(s, policy)
	}
	view := f.owners.View()
	for _, z := range []model.AvailabilityZone{s.Spec().Zone, d.cfg.Zone} {
		members := d.eligible(view.Zones[z], z, policy)
		for _, i := range ownership.HighestRanked(string(query), members, 2) {
			if members[i].Instance != f.self.Instance {
				return members[i], true
			}
		}
	}
	return model.Member{}, false
}
