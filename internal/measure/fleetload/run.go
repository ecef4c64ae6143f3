package fleetload

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// target is the stated time for a change to be in force everywhere.
const target = 16 * time.Second

// Size is a number of daemons and the zones that they are divided over.
type Size struct {
	Daemons int
	Zones   int
}

// Options say what to measure.
type Options struct {
	Sizes []Size
	// SteadyDuration is how long the steady state is observed, and OutageDuration how long the store is down.
	SteadyDuration time.Duration
	OutageDuration time.Duration
	// Changes is the number of changes, and ChangeInterval the time from one to the next.
	Changes        int
	ChangeInterval time.Duration
}

// DefaultOptions measure the sizes that the documentation gives, in about five minutes.
func DefaultOptions() Options {
	return Options{
		Sizes:          []Size{{8, 3}, {32, 3}, {128, 3}, {256, 3}, {256, 1}},
		SteadyDuration: 15 * time.Second, OutageDuration: 10 * time.Second,
		Changes: 10, ChangeInterval: 1500 * time.Millisecond,
	}
}

// Run measures each size in turn and returns the rows that it completed.
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

// run is the measurement of one size.
type run struct {
	o      Options
	fleet  *fleet
	before float64
	rows   []Row
}

func runSize(ctx context.Context, o Options, s Size) ([]Row, error) {
	before := memoryMB()
	f, err := newFleet(s.Daemons, s.Zones)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	r := &run{o: o, fleet: f, before: before}
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
	row.MemoryMB = (memoryMB() - r.before) / float64(row.Daemons)
	if h != nil {
		row.fillPropagation(h)
	}
	r.rows = append(r.rows, row)
}

// startAll starts all daemons at once and waits until each has the revision in the store.
func (r *run) startAll(ctx context.Context, phase Phase) error {
	h := newHistogram()
	m := r.fleet.startMeter()
	begin := time.Now()
	if err := r.fleet.start(); err != nil {
		return err
	}
	missing := r.fleet.await(ctx, r.fleet.revision, begin, h)
	// The phase covers the first list of members and the first elections, too.
	pause(ctx, begin.Add(r.o.SteadyDuration/3))
	r.add(phase, m, h, missing)
	return ctx.Err()
}

func (r *run) steady(ctx context.Context) {
	m := r.fleet.startMeter()
	pause(ctx, m.begin.Add(r.o.SteadyDuration))
	r.add(PhaseSteady, m, nil, 0)
}

func (r *run) changes(ctx context.Context) error {
	h := newHistogram()
	missing := 0
	m := r.fleet.startMeter()
	for range r.o.Changes {
		begin := time.Now()
		if err := r.fleet.publish(ctx); err != nil {
			return err
		}
		missing += r.fleet.await(ctx, r.fleet.revision, begin, h)
		pause(ctx, begin.Add(r.o.ChangeInterval))
	}
	r.add(PhaseChanges, m, h, missing)
	return ctx.Err()
}

// leaving lists one server after the other as leaving, and measures when daemons know it.
func (r *run) leaving(ctx context.Context) error {
	h := newHistogram()
	missing := 0
	m := r.fleet.startMeter()
	for i := range r.o.Changes {
		begin := time.Now()
		name := r.fleet.listLeaving(i)
		missing += r.fleet.each(ctx, begin, h, func(ctx context.Context, m *member) bool { return m.awaitLeaving(ctx, name) })
		pause(ctx, begin.Add(r.o.ChangeInterval))
	}
	r.add(PhaseLeaving, m, h, missing)
	return ctx.Err()
}

// outage takes the store down, and measures a change that is made at the moment when it is back.
func (r *run) outage(ctx context.Context) error {
	r.fleet.platform.SetFaults(platformserver.Faults{Down: true})
	pause(ctx, time.Now().Add(r.o.OutageDuration))
	r.fleet.platform.SetFaults(platformserver.Faults{})
	h := newHistogram()
	m := r.fleet.startMeter()
	if err := r.fleet.publish(ctx); err != nil {
		return err
	}
	missing := r.fleet.await(ctx, r.fleet.revision, m.begin, h)
	pause(ctx, m.begin.Add(r.o.SteadyDuration/3))
	r.add(PhaseOutage, m, h, missing)
	return ctx.Err()
}

// await records when the revision came into force at each daemon, and returns at how many it did not within the target.
func (f *fleet) await(ctx context.Context, rev model.Revision, begin time.Time, h *hdrhistogram.Histogram) int {
	return f.each(ctx, begin, h, func(ctx context.Context, m *member) bool { return m.awaitRevision(ctx, rev) })
}

// each waits for all daemons at once, and returns how many did not arrive within the target.
func (f *fleet) each(
	ctx context.Context, begin time.Time, h *hdrhistogram.Histogram, arrive func(context.Context, *member) bool,
) int {
	ctx, cancel := context.WithDeadline(ctx, begin.Add(target))
	defer cancel()
	type arrival struct {
		took    time.Duration
		arrived bool
	}
	arrivals := make(chan arrival, len(f.members))
	for _, m := range f.members {
		go func() {
			arrived := arrive(ctx, m)
			arrivals <- arrival{took: time.Since(begin), arrived: arrived}
		}()
	}
	missing := 0
	for range f.members {
		a := <-arrivals
		if !a.arrived {
			missing++
			continue
		}
		// Values lie within the histogram's range, as the target does.
		_ = h.RecordValue(a.took.Microseconds())
	}
	return missing
}

// awaitRevision returns whether the revision came into force before ctx ended.
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

// leavingPoll is how often a daemon's table is looked at, which bounds the precision of the figures.
const leavingPoll = 20 * time.Millisecond

// awaitLeaving returns whether the daemon knew that the server is leaving before ctx ended.
func (m *member) awaitLeaving(ctx context.Context, name model.ServerName) bool {
	ticker := time.NewTicker(leavingPoll)
	defer ticker.Stop()
	for len(m.part.Departures.ForServers([]model.ServerName{name}, time.Now())) == 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func pause(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
