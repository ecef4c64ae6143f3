package follow_test

import (
	"fmt"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// boundsApply reports whether the platform's time limits apply to the daemon.
func (d *daemon) boundsApply(now time.Time) bool {
	f, _ := d.client.currentFault()
	return f == storeHealthy && now.Sub(d.lastDisturbed) > d.sim.bounds.settled
}

func (sim *simulation) check(now time.Time) {
	for _, d := range sim.daemons {
		if d.paused.active() {
			continue
		}
		sim.checkRevocation(d, now)
		t := d.config.Current()
		if t == nil {
			if d.boundsApply(now) {
				sim.violation = fmt.Sprintf("d%d has no configuration", d.index)
			}
			continue
		}
		if t.Routing.Version < d.lastVersion {
			sim.violation = fmt.Sprintf("d%d went back from version %d to %d", d.index, d.lastVersion, t.Routing.Version)
		}
		d.lastVersion = t.Routing.Version
		sim.checkSequences(d)
		if d.boundsApply(now) {
			sim.checkVersion(d, now)
			sim.checkServers(d, t, now)
		}
		d.addLoad(now)
	}
}

func (sim *simulation) checkVersion(d *daemon, now time.Time) {
	for v, at := range sim.writtenAt {
		if now.Sub(at) > sim.bounds.configApply && v > d.lastVersion {
			sim.violation = fmt.Sprintf("d%d has version %d in force %s after version %d was written", d.index, d.lastVersion, now.Sub(at), v)
		}
	}
}

func (sim *simulation) checkServers(d *daemon, t *model.Topology, now time.Time) {
	used := map[model.ServerName]bool{}
	for _, svc := range t.Inventory.Services {
		for _, s := range svc.Shards[0].Servers {
			used[s.Name] = !s.Leaving
		}
	}
	for name, at := range sim.leftAt {
		if used[name] && now.Sub(at) > sim.bounds.drain {
			sim.violation = fmt.Sprintf("d%d uses server %s %s after it left", d.index, name, now.Sub(at))
		}
	}
	for name, at := range sim.joinedAt {
		if !used[name] && now.Sub(at) > sim.bounds.configApply {
			sim.violation = fmt.Sprintf("d%d does not use server %s %s after it joined", d.index, name, now.Sub(at))
		}
	}
}

// requestsPerCheck and attemptsPerCheck are the load of one daemon in each checkInterval.
const (
	requestsPerCheck = 4
	attemptsPerCheck = 12
)

// addLoad records requests of a daemon and as many extra attempts as its budget allows.
func (d *daemon) addLoad(now time.Time) {
	for range requestsPerCheck {
		d.budgets.OnRequest(service, now)
		d.sim.requests = append(d.sim.requests, now)
	}
	for range attemptsPerCheck {
		if d.budgets.Spend(service, 1, now) {
			d.sim.extraAttempts = append(d.sim.extraAttempts, now)
		}
	}
}

// countInWindow returns how many of the times, which are sorted, lie in the budget window that ends at end.
func countInWindow(times []time.Time, end time.Time) int {
	from, _ := slices.BinarySearchFunc(times, end.Add(-budgetRule.Span+1), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return to - from
}

// checkBudget checks every window that ends with an extra attempt.
func (sim *simulation) checkBudget() {
	for _, end := range sim.extraAttempts {
		requests := max(
			countInWindow(sim.requests, end), countInWindow(sim.requests, end.Add(-budgetRule.Span)),
			countInWindow(sim.requests, end.Add(-budgetRule.Span/2)),
		)
		allowed := budgetRule.Ratio*float64(requests) + budgetRule.Slack
		if n := countInWindow(sim.extraAttempts, end); float64(n) > allowed {
			sim.violation = fmt.Sprintf("%d extra attempts in a window with %d requests, %.0f are allowed", n, requests, allowed)
		}
	}
}
