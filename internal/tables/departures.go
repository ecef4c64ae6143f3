package tables

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Departures holds the backend servers that are leaving, each until a time that further signs put off. Owner:
// command/fleet.
type Departures struct {
	mu    lockorder.Mutex
	until map[model.ServerName]time.Time
}

// NewDepartures returns an empty table.
func NewDepartures() *Departures {
	return &Departures{mu: lockorder.New(OrderDepartures), until: map[model.ServerName]time.Time{}}
}

// Sign records a sign that this daemon saw itself, and tells whether it is the first one.
func (t *Departures) Sign(server model.ServerName, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.until[server]
	t.until[server] = now.Add(spread.LeavingHold)
	return !ok
}

// Heard records what a peer told, and returns the servers that were not known to be leaving.
func (t *Departures) Heard(told []model.Departure, now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first []model.ServerName
	for _, d := range told {
		if d.Hold <= 0 {
			continue
		}
		until, ok := t.until[d.Server]
		if !ok {
			first = append(first, d.Server)
			until = now
		}
		if end := spread.ExtendHold(until, now, d.Hold); end.After(until) || !ok {
			t.until[d.Server] = end
		}
	}
	return first
}

// Expire removes and returns the servers whose time has passed.
func (t *Departures) Expire(now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []model.ServerName
	for name, until := range t.until {
		if !until.After(now) {
			ended = append(ended, name)
			delete(t.until, name)
		}
	}
	return ended
}

// Current returns what to tell a peer at now: at most limit servers, the latest signs first.
func (t *Departures) Current(now time.Time, limit int) []model.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Departure, 0, len(t.until))
	for name, until := range t.until {
		if hold := until.Sub(now); hold > 0 {
			out = append(out, model.Departure{Server: name, Hold: hold})
		}
	}
	slices.SortFunc(out, func(a, b model.Departure) int { return int(b.Hold - a.Hold) })
	return out[:min(limit, len(out))]
}
