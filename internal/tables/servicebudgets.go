package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// ServiceBudgets holds this daemon's share of the fleet-wide budget of extra attempts (retries and hedges) to each service. A
// service keeps its counts across configuration changes. Owner: dispatch.
type ServiceBudgets struct {
	mu      lockorder.Mutex
	rule    budget.FleetRule
	daemons budget.FleetSize
	// startedAt is when the daemon started. The daemon does not know what it spent before a restart, so budget.FleetShare
	// allows less in the first span after the start.
	startedAt time.Time
	services  map[model.ServiceName]*budget.FleetShare
}

// NewServiceBudgets returns the table of a daemon that started at startedAt, in a fleet of the given number of daemons.
func NewServiceBudgets(rule budget.FleetRule, daemons int, startedAt time.Time) *ServiceBudgets {
	return &ServiceBudgets{
		mu: lockorder.New(OrderServiceBudgets), rule: rule, daemons: budget.NewFleetSize(daemons), startedAt: startedAt,
		services: map[model.ServiceName]*budget.FleetShare{},
	}
}

// SetDaemons records the number of daemons that are known to share the budgets at now.
func (t *ServiceBudgets) SetDaemons(n int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.daemons.Observe(n, now)
}

// SetRule changes the rule of all services at now.
func (t *ServiceBudgets) SetRule(rule budget.FleetRule, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rule.Span != t.rule.Span {
		// Services that are counted from now on have no counts of the new window either.
		t.startedAt = now
	}
	t.rule = rule
	for _, f := range t.services {
		f.SetRule(rule, now)
	}
}

// OnRequest counts one request for the service.
func (t *ServiceBudgets) OnRequest(service model.ServiceName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgetFor(service).OnRequest(now)
}

// Spend counts one extra attempt to the service if the budget allows it, and reports whether it does. fraction is the part of
// the budget that the attempt may use.
func (t *ServiceBudgets) Spend(service model.ServiceName, fraction float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgetFor(service).Spend(fraction, t.daemons.At(now), now)
}

func (t *ServiceBudgets) budgetFor(service model.ServiceName) *budget.FleetShare {
	f := t.services[service]
	if f == nil {
		created := budget.NewFleetShare(t.rule, t.startedAt)
		f = &created
		t.services[service] = f
	}
	return f
}
