package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/model"
)

// Sample is what is kept of an answer.
type Sample struct {
	// At is the intended send time, from the start of the round.
	At   time.Duration
	Rank model.Rank
	// Command tells that the request was non-idempotent.
	Command  bool
	Outcome  model.Outcome
	Latency  time.Duration
	Coverage float64
	Request  model.RequestID
	// Shards is the number of sub-requests that the query needed; 0 if it was not run.
	Shards int
	// Violations are those that the answer shows by itself.
	Violations Violations
}

// Collector takes the answers of one round. It is safe for concurrent use. Invariant: revisions holds, for each daemon,
// the highest revision in any answer received.
type Collector struct {
	maps ShardMaps

	mu        lockorder.Mutex
	samples   []Sample
	commands  []Command
	revisions map[int]model.Revision
}

// NewCollector returns an empty collector that knows the given shard maps, which must no longer change.
func NewCollector(maps ShardMaps) *Collector {
	return &Collector{maps: maps, mu: lockorder.New(locks.OrderCollector), revisions: map[int]model.Revision{}}
}

// Revision returns the highest revision in any answer of a daemon so far. Call it before sending.
func (c *Collector) Revision(daemon int) model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[daemon]
}

// Add checks and keeps an answer; before is what Revision returned before it was sent.
func (c *Collector) Add(a *Answer, before model.Revision) {
	v := CheckAnswer(a, c.maps)
	if a.Received && a.Body.Revision != 0 && a.Body.Revision < before {
		v.ConfigReverted = 1
	}
	s := Sample{
		At:       a.Arrival.At,
		Rank:     a.Arrival.Rank,
		Outcome:  a.Outcome(),
		Latency:  a.Latency,
		Coverage: a.Body.Coverage.Fraction,
		Request:  a.Body.RequestID,

		Violations: v,
	}
	if s.Outcome != model.OutcomeNotRun {
		s.Shards = len(c.maps[a.Body.Epoch])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
	c.revisions[a.Arrival.Target] = max(c.revisions[a.Arrival.Target], a.Body.Revision)
}

// AddCommand keeps the answers to a non-idempotent request. at and latency are those of the whole request.
func (c *Collector) AddCommand(cmd Command, at, latency time.Duration, rank model.Rank) {
	last := cmd.Answers[len(cmd.Answers)-1]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, cmd)
	c.samples = append(c.samples, Sample{At: at, Latency: latency, Rank: rank, Command: true, Outcome: last.Outcome})
}

// Commands returns the non-idempotent requests. Call it once all answers are in.
func (c *Collector) Commands() []Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands
}

// Samples returns what was collected. Call it once all answers are in.
func (c *Collector) Samples() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.samples
}
