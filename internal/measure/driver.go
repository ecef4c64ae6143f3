package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// processNote is stated in every row.
const processNote = "one process: daemons, stand-ins, callers"

type driver struct {
	options    Options
	deployment *deployment
	callers    [model.RankCount][]model.CallerName
	// serviceTime is the fixed part that stand-ins are given, less what their timers overshoot.
	serviceTime time.Duration
	capacity    float64
	calibrated  float64
	log         zerolog.Logger
	errOut      io.Writer
}

// Run runs the scenarios of the options and writes their rows to out as they are measured, and progress to errOut.
func Run(ctx context.Context, o Options, out, errOut io.Writer) error {
	chosen, err := expand(o.Scenarios, o.Seed)
	if err != nil {
		return err
	}
	d, err := newDriver(o, errOut)
	if err != nil {
		return err
	}
	if err := d.calibrate(ctx); err != nil {
		return err
	}
	p := newPrinter(o.Format, out)
	var steady map[rowRank]*Row
	for i := range chosen {
		rows, err := d.runScenario(ctx, &chosen[i])
		if err != nil {
			return err
		}
		if chosen[i].Name == steadyName {
			steady = rows[model.PolicyDefault]
		}
		d.applyBounds(&chosen[i], rows, steady)
		if err := p.print(o.Policies, rows); err != nil {
			return err
		}
	}
	return nil
}

func newDriver(o Options, errOut io.Writer) (*driver, error) {
	dep, err := loadDeployment(o.Deployment, o.Service)
	if err != nil {
		return nil, err
	}
	d := &driver{options: o, deployment: dep, callers: callers(dep.rules), errOut: errOut, log: zerolog.Nop()}
	for r, list := range d.callers {
		if len(list) == 0 {
			return nil, errors.Wrapf(ErrUsage, "the rules give no caller the rank %s", model.Rank(r))
		}
	}
	if o.Verbose {
		d.log = telemetry.NewLogger(errOut, zerolog.WarnLevel)
	}
	d.serviceTime = o.ServiceTime
	d.capacity = capacity(dep.service, (o.ServiceTime + o.Spread).Seconds())
	return d, nil
}

// runScenario runs all rounds, with the policies in turn within each round, so that drifts of the machine's load meet
// all of them alike.
func (d *driver) runScenario(ctx context.Context, s *Scenario) (map[model.Policy]map[rowRank]*Row, error) {
	rounds := map[model.Policy][]*round{}
	for i := range d.options.Rounds {
		for _, policy := range d.options.Policies {
			r, err := d.runRound(ctx, s, policy, d.options.Seed+uint64(i))
			if err != nil {
				return nil, err
			}
			rounds[policy] = append(rounds[policy], r)
			f := r.figures[urgent]
			d.progress("%s round %d %s: urgent p99 %.1f ms, complete %d of %d", s.Name, i+1, policy, f.P99,
				f.Outcomes[model.OutcomeComplete], f.Offered)
		}
	}
	rows := map[model.Policy]map[rowRank]*Row{}
	for policy, list := range rounds {
		rows[policy] = map[rowRank]*Row{}
		for _, rank := range rowRanks {
			rows[policy][rank] = d.newRow(s, policy, rank, list)
		}
	}
	return rows, nil
}

func (d *driver) newRow(s *Scenario, policy model.Policy, rank rowRank, rounds []*round) *Row {
	r := &Row{
		Scenario: s.Name, Deployment: d.deployment.name, Policy: policy, Seed: d.options.Seed, Rounds: len(rounds),
		Rank: rank, CapacityQPS: d.capacity, CalibratedQPS: d.calibrated, Process: processNote,
		DeadlineMs: d.options.Deadline.Milliseconds(),
	}
	r.fill(rounds)
	return r
}

// applyBounds adds the scenario's bounds to the rows of the default policy.
func (d *driver) applyBounds(s *Scenario, rows map[model.Policy]map[rowRank]*Row, steady map[rowRank]*Row) {
	own := rows[model.PolicyDefault]
	if own == nil {
		return
	}
	b := &comparison{
		own: own, baseline: rows[model.PolicyBaseline], steady: steady, capacity: d.capacity, rules: d.deployment.rules,
	}
	for _, bound := range append(s.Bounds, noViolation()) {
		row := own[bound.Rank]
		row.Bounds = append(row.Bounds, bound.result(b))
	}
}

func (d *driver) progress(format string, args ...any) {
	// A failure to write progress does not end the run.
	_, _ = fmt.Fprintf(d.errOut, time.Now().Format(time.TimeOnly)+" "+format+"\n", args...)
}
