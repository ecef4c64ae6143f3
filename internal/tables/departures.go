package tables

import (
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Departures holds the backend servers that are marked as leaving. Each mark expires unless it is extended by further
// reports. Owner: command/fleet.
type Departures struct {
	mu lockorder.Mutex
	// expiry is when each server's mark ends.
	expiry map[model.ServerName]time.Time
}

// NewDepartures returns an empty table.
func NewDepartures() *Departures {
	return &Departures{mu: lockorder.New(OrderDepartures), expiry: map[model.ServerName]time.Time{}}
}

// Mark marks a server as leaving after this daemon observed it itself, and reports whether the server was unmarked before.
func (t *Departures) Mark(server model.ServerName, now time.Time) (added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.expiry[server]
	t.expiry[server] = now.Add(gossip.LeavingMarkTTL)
	return !ok
}

// Merge adds the marks reported by a peer and returns the servers that were unmarked before.
func (t *Departures) Merge(departures []model.Departure, now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first []model.ServerName
	for _, d := range departures {
		if d.Hold <= 0 {
			continue
		}
		until, ok := t.expiry[d.Server]
		if !ok {
			first = append(first, d.Server)
			until = now
		}
		if end := gossip.ExtendLeavingMark(until, now, d.Hold); end.After(until) || !ok {
			t.expiry[d.Server] = end
		}
	}
	return first
}

// Expire removes the expired marks and returns their servers.
func (t *Departures) Expire(now time.Time) []model.ServerName {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []model.ServerName
	for name, until := range t.expiry {
		if !until.After(now) {
			ended = append(ended, name)
			delete(t.expiry, name)
		}
	}
	return ended
}

// Current returns all servers marked as leaving at now.
func (t *Departures) Current(now time.Time) []model.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Departure, 0, len(t.expiry))
	for name, until := range t.expiry {
		if hold := until.Sub(now); hold > 0 {
			out = append(out, model.Departure{Server: name, Hold: hold})
		}
	}
	return out
}

// Sample returns at most limit of the servers marked as leaving at now, chosen at random, so that a peer learns of all of
// them over several exchanges.
func (t *Departures) Sample(now time.Time, limit int, rnd *rand.Rand) []model.Departure {
	all := t.Current(now)
	if len(all) <= limit {
		return all
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:limit]
}

// ForServers returns those of the named servers that are marked as leaving at now.
func (t *Departures) ForServers(names []model.ServerName, now time.Time) []model.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]model.Departure, 0, len(names))
	for _, name := range names {
		if hold := t.expiry[name].Sub(now); hold > 0 {
			out = append(out, model.Departure{Server: name, Hold: hold})
		}
	}
	return out
}
