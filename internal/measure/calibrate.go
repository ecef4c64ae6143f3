package measure

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/measure/locks"
	"oleandersill.example/oleandersill/internal/measure/observe"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/pool"
)

const (
	calibrationTime = 2 * time.Second
	// calibrationSpare is the number of requests kept at each server beyond its slots, so that no slot is ever idle.
	calibrationSpare = 2
)

// counter counts what a calibration's workers completed.
type counter struct {
	mu   lockorder.Mutex
	done int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
}

// calibrate measures how much longer than asked for the stand-ins hold their slots, since timers overshoot by up to 1 ms,
// takes that off the service time that they are given, and then measures the capacity to state in the rows.
func (d *driver) calibrate(ctx context.Context) error {
	_, held, err := d.saturateAll(ctx)
	if err != nil {
		return err
	}
	overshoot := held - (d.options.ServiceTime + d.options.Spread)
	d.serviceTime -= min(max(0, overshoot), d.options.ServiceTime/2)
	d.calibrated, held, err = d.saturateAll(ctx)
	d.progress("calibration: timers overshoot by %v; then slots are held for %v, and %.1f queries/s of %.1f worked out",
		overshoot, held, d.calibrated, d.capacity)
	return err
}

// saturateAll keeps every slot of the queried service busy, directly and without the network's latencies, and returns
// the rate of queries that the stand-ins sustained and the mean time that a sub-request held a slot. It shows whether
// the machine carries the capacity that was worked out.
func (d *driver) saturateAll(ctx context.Context) (rate float64, held time.Duration, err error) {
	cfg := d.clusterConfig(model.PolicyDefault, d.options.Seed)
	cfg.Daemons = 1
	c, err := cluster.Start(ctx, cfg, d.log)
	if err != nil {
		return 0, 0, err
	}
	defer c.Stop()
	connector := &backendhttp.Connector{}
	defer connector.Close()
	done := &counter{mu: lockorder.New(locks.OrderCounter)}
	begin := time.Now()
	var pools []*pool.Pool
	shards := c.Service(d.deployment.service.Name).Shards
	for i := range shards {
		for j := range shards[i].Servers {
			pools = append(pools, saturate(ctx, connector, &shards[i], &shards[i].Servers[j], begin.Add(calibrationTime), done))
		}
	}
	for _, p := range pools {
		p.Wait()
	}
	rate = float64(done.done) / time.Since(begin).Seconds() / float64(len(shards))
	return rate, observe.MeanServiceTime(c.Record(d.deployment.service.Name).Queries()), nil
}

// saturate keeps a server's slots busy until end.
func saturate(
	ctx context.Context, connector *backendhttp.Connector, sh *model.ShardSpec, spec *model.ServerSpec, end time.Time,
	done *counter,
) *pool.Pool {
	workers := spec.Slots + calibrationSpare
	client := connector.Connect(&model.Server{ServerSpec: spec, Shard: sh.Name}, workers)
	return pool.Start(workers, func() (func(), bool) {
		return func() {
			r := client.Query(ctx, backend.QueryRequest{
				ID: backend.AttemptID{Request: "calibration"}, Shard: sh.Name, Text: "calibration", Limit: itemsPerShard,
			})
			if r.Status == backend.StatusOK {
				done.add()
			}
		}, time.Now().Before(end)
	})
}
