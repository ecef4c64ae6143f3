package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Budgets holds the hedge and retry windows of the daemon. Owner: dispatch.
type Budgets struct {
	mu    lockorder.Mutex
	hedge budget.Window
	retry budget.Window
	// rules are those that the windows were made for.
	rules windowRules
}

type windowRules struct {
	hedge model.HedgeRule
	retry model.RetryRule
}

// NewBudgets returns windows for the given rules.
func NewBudgets(rules model.Rules, now time.Time) *Budgets {
	b := &Budgets{mu: lockorder.New(OrderBudgets)}
	b.SetRules(rules, now)
	return b
}

// SetRules replaces the windows if the rules changed; what they counted survives other changes of the configuration.
func (b *Budgets) SetRules(rules model.Rules, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, r := rules.Hedge, rules.Retry
	if b.rules == (windowRules{hedge: h, retry: r}) {
		return
	}
	b.rules = windowRules{hedge: h, retry: r}
	b.hedge = budget.NewWindow(h.MaxRatio, 0, time.Duration(h.WindowMs)*time.Millisecond, now)
	b.retry = budget.NewWindow(r.MaxRatio, retryFloor, time.Duration(r.WindowMs)*time.Millisecond, now)
}

// OnRequest counts one sub-request in both windows.
func (b *Budgets) OnRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge.OnRequest(now)
	b.retry.OnRequest(now)
}

// retryFloor is the number of retries that every window allows, so that a service with little traffic may retry at all.
const retryFloor = 5

// hedgeParts are the parts of the hedge budget that work of each rank may use, so that urgent work always finds some.
var hedgeParts = [model.RankCount]float64{1, 0.7, 0.4}

// SpendHedge counts one hedge of the rank if the budget allows it.
func (b *Budgets) SpendHedge(r model.Rank, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedge.Spend(hedgeParts[r], now)
}

// SpendRetry counts one retry if the budget allows it.
func (b *Budgets) SpendRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retry.Spend(1, now)
}
