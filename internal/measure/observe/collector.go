package observe

import (
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/model"
)

// Sample is the data kept of one request and its answers.
type Sample struct {
	// At is the intended send time, from the start of the round.
	At   time.Duration
	Rank model.Rank
	// Command means that the request was non-idempotent.
	Command  bool
	Outcome  model.Outcome
	Latency  time.Duration
	Coverage float64
	Request  model.RequestID
	// Shards is the number of sub-requests that the query needed; 0 if it was not run.
	Shards int
	// Violations are those that can be found from the answer and earlier answers of the same daemon.
	Violations Violations
}

// Collector collects the answers of one round. It is safe for concurrent use. Invariant: revisions holds, for each daemon,
// the highest revision in any answer received.
type Collector struct {
	maps ShardMaps

	mu        lockorder.Mutex
	samples   []Sample
	commands  []Command
	revisions map[int]model.Revision
}

// NewCollector returns an empty collector that checks answers against the given shard maps, which must not change any more.
func NewCollector(maps ShardMaps) *Collector {
	return &Collector{maps: maps, mu: lockorder.New(locks.OrderCollector), revisions: map[int]model.Revision{}}
}

// Revision returns the highest revision in any answer of a daemon so far. It must be called before a query is sent.
func (c *Collector) Revision(daemon int) model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[daemon]
}

// Add checks an answer and adds a sample of it. before is the result of Revision before the query was sent.
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

// AddCommand adds a non-idempotent request with its answers. at is the intended time of the first send, and latency is
// measured from it to the last answer.
func (c *Collector) AddCommand(cmd Command, at, latency time.Duration, rank model.Rank) {
	last := cmd.Answers[len(cmd.Answers)-1]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, cmd)
	c.samples = append(c.samples, Sample{At: at, Latency: latency, Rank: rank, Command: true, Outcome: last.Outcome})
}

// Commands returns the non-idempotent requests. It must be called after all answers have been added.
func (c *Collector) Commands() []Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commands
}

// Samples returns the samples. It must be called after all answers have been added.
func (c *Collector) Samples() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.samples
}
