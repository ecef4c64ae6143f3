package tables

import (
	"math/rand/v2"
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

// Mark records a sign that this daemon saw itself, and tells whether it is the first one.
func (t *Departures) Mark(server model.ServerName, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.until[server]
	t.until[server] = now.Add(spread.LeavingHold)
	return !ok
}

// Merge records what a peer told, and returns the servers that were not known to be leaving.
func (t *Departures) Merge(told []model.Departure, now time.Time) []model.ServerName {
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

// Current returns all servers that are leaving at now.
func (t *Departures) Current(now time.Time) []model.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Departure, 0, len(t.until))
	for name, until := range t.until {
		if hold := until.Sub(now); hold > 0 {
			out = append(out, model.Departure{Server: name, Hold: hold})
		}
	}
	return out
}

// Sample returns at most limit of the servers that are leaving at now, chosen at random, so that over several exchanges
// a peer hears of all of them.
func (t *Departures) Sample(now time.Time, limit int, rnd *rand.Rand) []model.Departure {
	all := t.Current(now)
	if len(all) <= limit {
		return all
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:limit]
}

// ForServers returns those of the named servers that are leaving at now.
func (t *Departures) ForServers(names []model.ServerName, now time.Time) []model.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Departure, 0, len(names))
	for _, name := range names {
		if hold := t.until[name].Sub(now); hold > 0 {
			out = append(out, model.Departure{Server: name, Hold: hold})
		}
	}
	return out
}
