package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// spreadPoll is how often a daemon is asked for its revision.
	spreadPoll = 10 * time.Millisecond
	// spreadLimit is the time after which a daemon counts as not reached.
	spreadLimit = 20 * time.Second
)

// ConfigChanges applies changes of the rules, one after the other, and records how long each takes to be in force at each
// daemon, from the sending of the change.
type ConfigChanges struct {
	Count int
	Pause time.Duration
}

// Inject implements Fault.
func (f ConfigChanges) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	for i := range f.Count {
		if err := c.changeRules(ctx, i); err != nil {
			return err
		}
		if err := sleep(f.Pause, ctx.Done()); err != nil {
			return err
		}
	}
	return nil
}

// changeRules changes the rules by a detail, so that each change differs from the one before it.
func (c *Cluster) changeRules(ctx context.Context, i int) error {
	c.editing <- struct{}{}
	defer func() { <-c.editing }()
	rules := c.cfg.Rules
	rules.Hedge.MinDelayMs += 1 + i%2
	begin := time.Now()
	if err := c.Apply(ctx, c.Inventory(), rules); err != nil {
		return err
	}
	return c.awaitSpread(ctx, c.revision, begin)
}

// awaitSpread records when each daemon has the revision in force.
func (c *Cluster) awaitSpread(ctx context.Context, want model.Revision, begin time.Time) error {
	pending := c.members()
	for len(pending) > 0 {
		pending = slices.DeleteFunc(pending, func(m member) bool {
			reached := revisionOf(ctx, m.daemon.OperatorAddress()) >= want
			if reached || time.Since(begin) > spreadLimit {
				c.recordSpread(time.Since(begin))
				return true
			}
			return false
		})
		if err := sleep(spreadPoll, ctx.Done()); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) recordSpread(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread = append(c.spread, d)
}

// PropagationTimes returns how long each change took to be in force at each daemon. A daemon that was not reached counts with more
// than 20 s.
func (c *Cluster) PropagationTimes() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.spread)
}

// revisionOf returns the revision in force at the daemon with the operators' address, or 0 if it does not answer.
func revisionOf(ctx context.Context, address string) model.Revision {
	revision, err := readRevision(ctx, address)
	if err != nil {
		return 0
	}
	return revision
}

func readRevision(ctx context.Context, address string) (model.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return 0, errors.Wrap(err, "cluster: building request")
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "cluster: reading status")
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Revision model.Revision `json:"revision"`
	}
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status.Revision, errors.Wrap(err, "cluster: reading status")
}

// PlatformPartition parts one zone from the platform only, for a while.
type PlatformPartition struct {
	// Zone is the index of the zone in the inventory.
	Zone     int
	Duration time.Duration
}

// Inject implements Fault.
func (f PlatformPartition) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	zone := c.cfg.Inventory.Zones[f.Zone].Name
	c.Network.SetPlatformPartition(zone, true)
	defer c.Network.SetPlatformPartition(zone, false)
	return sleep(f.Duration, ctx.Done())
}
