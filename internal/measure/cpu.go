package measure

import (
	"bytes"
	"context"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"github.com/google/pprof/profile"

	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/measure/labels"
	"oleandersill.example/oleandersill/internal/measure/observe"
)

// profiled runs work under a CPU profile and divides the daemons' CPU time by the number of sub-requests that all services
// started meanwhile. The goroutines of work are labelled as the driver's.
func profiled(ctx context.Context, c *cluster.Cluster, work func()) (*observe.CPU, error) {
	var out bytes.Buffer
	before := c.StartedSubRequests()
	if err := pprof.StartCPUProfile(&out); err != nil {
		return nil, errors.Wrap(err, "measure: profile")
	}
	pprof.Do(ctx, pprof.Labels(labels.Component, labels.Driver), func(context.Context) { work() })
	pprof.StopCPUProfile()
	p, err := profile.Parse(&out)
	if err != nil {
		return nil, errors.Wrap(err, "measure: profile")
	}
	cpu := observe.SplitCPU(p, c.StartedSubRequests()-before)
	return &cpu, nil
}
