package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Budgets holds the hedge and retry budgets of the daemon. Owner: dispatch.
type Budgets struct {
	mu    lockorder.Mutex
	hedge budget.Window
	retry budget.Window
	// rules are the rules from which the windows were created.
	rules windowRules
}

type windowRules struct {
	hedge model.HedgeRule
	retry model.RetryRule
}

// NewBudgets returns budgets for the given rules.
func NewBudgets(rules model.Rules, now time.Time) *Budgets {
	b := &Budgets{mu: lockorder.New(OrderBudgets)}
	b.SetRules(rules, now)
	return b
}

// SetRules replaces both windows if the hedge or retry rule changed. Other configuration changes keep the counts.
func (b *Budgets) SetRules(rules model.Rules, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, r := rules.Hedge, rules.Retry
	if b.rules == (windowRules{hedge: h, retry: r}) {
		return
	}
	b.rules = windowRules{hedge: h, retry: r}
	b.hedge = budget.NewWindow(h.MaxRatio, 0, time.Duration(h.WindowMs)*time.Millisecond, now)
	b.retry = budget.NewWindow(r.MaxRatio, minRetries, time.Duration(r.WindowMs)*time.Millisecond, now)
}

// OnRequest counts one sub-request in both windows.
func (b *Budgets) OnRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge.OnRequest(now)
	b.retry.OnRequest(now)
}

// minRetries is the number of retries that the budget allows in every window regardless of traffic. Without it a daemon
// with little traffic could not retry at all.
const minRetries = 5

// hedgeFractions are the fractions of the hedge budget that the ranks may use. Lower ranks get less, which keeps some budget
// for urgent work.
var hedgeFractions = [model.RankCount]float64{1, 0.7, 0.4}

// SpendHedge counts one hedge of the rank if the budget allows it, and reports whether it does.
func (b *Budgets) SpendHedge(r model.Rank, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedge.Spend(hedgeFractions[r], now)
}

// SpendRetry counts one retry if the budget allows it, and reports whether it does.
func (b *Budgets) SpendRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retry.Spend(1, now)
}
