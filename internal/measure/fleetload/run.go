package fleetload

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// propagationTarget is the time within which a change must be in force at all daemons.
const propagationTarget = 16 * time.Second

// Size is the number of daemons of a fleet and the number of zones that they are distributed over.
type Size struct {
	Daemons int
	Zones   int
}

// Options are the options of a measurement.
type Options struct {
	Sizes []Size
	// SteadyDuration is how long the steady state is observed, and OutageDuration how long the store is down.
	SteadyDuration time.Duration
	OutageDuration time.Duration
	// Changes is the number of configuration changes and of leaving servers, and ChangeInterval the time from one to the next.
	Changes        int
	ChangeInterval time.Duration
}

// DefaultOptions returns the options for the fleet sizes in the documentation. A run takes about five minutes.
func DefaultOptions() Options {
	return Options{
		Sizes:          []Size{{8, 3}, {32, 3}, {128, 3}, {256, 3}, {256, 1}},
		SteadyDuration: 15 * time.Second, OutageDuration: 10 * time.Second,
		Changes: 10, ChangeInterval: 1500 * time.Millisecond,
	}
}

// Run measures one fleet size after another. If it fails, it returns the rows completed before.
func Run(ctx context.Context, o Options) ([]Row, error) {
	var rows []Row
	for _, s := range o.Sizes {
		measured, err := runSize(ctx, o, s)
		rows = append(rows, measured...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// run is the measurement of one fleet size.
type run struct {
	options      Options
	fleet        *fleet
	memoryBefore float64
	rows         []Row
}

func runSize(ctx context.Context, o Options, s Size) ([]Row, error) {
	before := memoryMB()
	f, err := newFleet(s.Daemons, s.Zones)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	r := &run{options: o, fleet: f, memoryBefore: before}
	if err := f.publish(ctx); err != nil {
		return nil, err
	}
	if err := r.startAll(ctx, PhaseStart); err != nil {
		return r.rows, err
	}
	defer f.closeMembers()
	r.steady(ctx)
	if err := r.changes(ctx); err != nil {
		return r.rows, err
	}
	if err := r.leaving(ctx); err != nil {
		return r.rows, err
	}
	if err := r.outage(ctx); err != nil {
		return r.rows, err
	}
	f.closeMembers()
	return r.rows, r.startAll(ctx, PhaseRestart)
}

func (r *run) add(phase Phase, m *meter, h *hdrhistogram.Histogram, missing int) {
	row := Row{Phase: phase, Missing: missing}
	m.fill(&row)
	row.MemoryMB = (memoryMB() - r.memoryBefore) / float64(row.Daemons)
	if h != nil {
		row.fillPropagation(h)
	}
	r.rows = append(r.rows, row)
}

// startAll starts all daemons at once and waits until each has the store's revision in force.
func (r *run) startAll(ctx context.Context, phase Phase) error {
	h := newHistogram()
	m := r.fleet.startMeter()
	begin := time.Now()
	if err := r.fleet.start(); err != nil {
		return err
	}
	missing := r.fleet.awaitRevision(ctx, r.fleet.revision, begin, h)
	// The phase includes the first reads of the instance list and the first relay elections.
	sleepUntil(ctx, begin.Add(r.options.SteadyDuration/3))
	r.add(phase, m, h, missing)
	return ctx.Err()
}

func (r *run) steady(ctx context.Context) {
	m := r.fleet.startMeter()
	sleepUntil(ctx, m.begin.Add(r.options.SteadyDuration))
	r.add(PhaseSteady, m, nil, 0)
}

func (r *run) changes(ctx context.Context) error {
	h := newHistogram()
	missing := 0
	m := r.fleet.startMeter()
	for range r.options.Changes {
		begin := time.Now()
		if err := r.fleet.publish(ctx); err != nil {
			return err
		}
		missing += r.fleet.awaitRevision(ctx, r.fleet.revision, begin, h)
		sleepUntil(ctx, begin.Add(r.options.ChangeInterval))
	}
	r.add(PhaseChanges, m, h, missing)
	return ctx.Err()
}

// leaving lists one server after another as leaving, and measures the time until the daemons know.
func (r *run) leaving(ctx context.Context) error {
	h := newHistogram()
	missing := 0
	m := r.fleet.startMeter()
	for i := range r.options.Changes {
		begin := time.Now()
		name := r.fleet.listLeaving(i)
		missing += r.fleet.awaitAll(ctx, begin, h, func(ctx context.Context, m *member) bool { return m.awaitLeaving(ctx, name) })
		sleepUntil(ctx, begin.Add(r.options.ChangeInterval))
	}
	r.add(PhaseLeaving, m, h, missing)
	return ctx.Err()
}

// outage takes the store down, and measures a change that is made as soon as the store is back.
func (r *run) outage(ctx context.Context) error {
	r.fleet.platform.SetFaults(platformserver.Faults{Down: true})
	sleepUntil(ctx, time.Now().Add(r.options.OutageDuration))
	r.fleet.platform.SetFaults(platformserver.Faults{})
	h := newHistogram()
	m := r.fleet.startMeter()
	if err := r.fleet.publish(ctx); err != nil {
		return err
	}
	missing := r.fleet.awaitRevision(ctx, r.fleet.revision, m.begin, h)
	sleepUntil(ctx, m.begin.Add(r.options.SteadyDuration/3))
	r.add(PhaseOutage, m, h, missing)
	return ctx.Err()
}

// awaitRevision records the times until the revision is in force at each daemon, and returns the number of daemons at which it
// was not in force within the target.
func (f *fleet) awaitRevision(ctx context.Context, rev model.Revision, begin time.Time, h *hdrhistogram.Histogram) int {
	return f.awaitAll(ctx, begin, h, func(ctx context.Context, m *member) bool { return m.awaitRevision(ctx, rev) })
}

// awaitAll runs await for all daemons concurrently and records the times that it took since begin. It returns the number of
// daemons for which await did not return true within the target.
func (f *fleet) awaitAll(
	ctx context.Context, begin time.Time, h *hdrhistogram.Histogram, await func(context.Context, *member) bool,
) int {
	ctx, cancel := context.WithDeadline(ctx, begin.Add(propagationTarget))
	defer cancel()
	type result struct {
		took   time.Duration
		inTime bool
	}
	results := make(chan result, len(f.members))
	for _, m := range f.members {
		go func() {
			inTime := await(ctx, m)
			results <- result{took: time.Since(begin), inTime: inTime}
		}()
	}
	missing := 0
	for range f.members {
		res := <-results
		if !res.inTime {
			missing++
			continue
		}
		// The target is within the histogram's range, and so are the recorded values.
		_ = h.RecordValue(res.took.Microseconds())
	}
	return missing
}

// awaitRevision reports whether the revision came into force before ctx ended.
func (m *member) awaitRevision(ctx context.Context, rev model.Revision) bool {
	for {
		changed := m.config.Changed()
		if m.config.Revision() >= rev {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// leavingPollInterval is the interval at which a daemon's table is checked, which limits the precision of the figures.
const leavingPollInterval = 20 * time.Millisecond

// awaitLeaving reports whether the daemon knew that the server is leaving before ctx ended.
func (m *member) awaitLeaving(ctx context.Context, name model.ServerName) bool {
	ticker := time.NewTicker(leavingPollInterval)
	defer ticker.Stop()
	for len(m.controlPlane.Departures.ForServers([]model.ServerName{name}, time.Now())) == 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func sleepUntil(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
