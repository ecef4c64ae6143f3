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
	calibrationDuration = 2 * time.Second
	// calibrationExtraRequests is the number of requests kept outstanding at each server beyond its slots, so that no slot
	// is ever idle.
	calibrationExtraRequests = 2
)

// counter counts the queries that the workers of a calibration completed.
type counter struct {
	mu   lockorder.Mutex
	done int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
}

// calibrate measures how much longer than configured the stand-ins hold their slots, since timers overshoot by up to 1 ms.
// It subtracts that overshoot from the service time given to the stand-ins, and then measures the capacity that the rows
// report.
func (d *driver) calibrate(ctx context.Context) error {
	_, held, err := d.saturateAll(ctx)
	if err != nil {
		return err
	}
	overshoot := held - (d.options.ServiceTime + d.options.Spread)
	d.serviceTime -= min(max(0, overshoot), d.options.ServiceTime/2)
	d.calibratedCapacity, held, err = d.saturateAll(ctx)
	d.progress("calibration: timers overshoot by %v; corrected: slots are held for %v, %.1f queries/s of a computed capacity of %.1f",
		overshoot, held, d.calibratedCapacity, d.capacity)
	return err
}

// saturateAll keeps every slot of the queried service busy. It connects to the stand-ins directly, without the emulated
// network latencies. It returns the rate of queries that the stand-ins sustained and the mean time that a sub-request held a
// slot. The rate shows whether the machine reaches the computed capacity.
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
			pools = append(pools, saturate(ctx, connector, &shards[i], &shards[i].Servers[j], begin.Add(calibrationDuration), done))
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
	workers := spec.Slots + calibrationExtraRequests
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
