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
	// propagationPollInterval is the interval between requests for the revision of a daemon.
	propagationPollInterval = 10 * time.Millisecond
	// propagationTimeout is the time after which a change counts as not in force at a daemon.
	propagationTimeout = 20 * time.Second
)

// ConfigChanges applies changes of the rules one after another, and records the time from the request of each change until it
// is in force at each daemon.
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

// changeRules applies the i-th change of the rules. It varies the minimum hedge delay, so that each change differs from the
// one before it.
func (c *Cluster) changeRules(ctx context.Context, i int) error {
	c.editSemaphore <- struct{}{}
	defer func() { <-c.editSemaphore }()
	rules := c.cfg.Rules
	rules.Hedge.MinDelayMs += 1 + i%2
	begin := time.Now()
	if err := c.Apply(ctx, c.Inventory(), rules); err != nil {
		return err
	}
	return c.awaitPropagation(ctx, c.revision, begin)
}

// awaitPropagation waits until each daemon has the revision in force or the timeout has passed, and records how long that took
// for each.
func (c *Cluster) awaitPropagation(ctx context.Context, want model.Revision, begin time.Time) error {
	pending := c.members()
	for len(pending) > 0 {
		pending = slices.DeleteFunc(pending, func(m member) bool {
			reached := revisionInForce(ctx, m.daemon.OperatorAddress()) >= want
			if reached || time.Since(begin) > propagationTimeout {
				c.recordPropagation(time.Since(begin))
				return true
			}
			return false
		})
		if err := sleep(propagationPollInterval, ctx.Done()); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) recordPropagation(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.propagationTimes = append(c.propagationTimes, d)
}

// PropagationTimes returns how long each change took to be in force at each daemon. The time of a change that was not in force
// at a daemon within 20 s is a little more than 20 s.
func (c *Cluster) PropagationTimes() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.propagationTimes)
}

// revisionInForce returns the revision in force at the daemon with the given operator address, or 0 if it does not answer.
func revisionInForce(ctx context.Context, address string) model.Revision {
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

// PlatformPartition partitions one zone from the platform only, for Duration.
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
