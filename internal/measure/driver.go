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

// processDescription is the value of Row.Process.
const processDescription = "one process: daemons, stand-ins, callers"

type driver struct {
	options    Options
	deployment *deployment
	callers    [model.RankCount][]model.CallerName
	// serviceTime is the fixed service time given to the stand-ins, reduced by the measured overshoot of their timers.
	serviceTime time.Duration
	// capacity is computed from slots and service time, in queries per second; calibratedCapacity is the measured one.
	capacity           float64
	calibratedCapacity float64
	log                zerolog.Logger
	errOut             io.Writer
}

// Run runs the scenarios of the options. It writes the rows of each scenario to out when it is complete, and progress
// messages to errOut.
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
			return nil, errors.Wrapf(ErrUsage, "the rules assign the rank %s to no caller", model.Rank(r))
		}
	}
	if o.Verbose {
		d.log = telemetry.NewLogger(errOut, zerolog.WarnLevel)
	}
	d.serviceTime = o.ServiceTime
	d.capacity = capacity(dep.service, (o.ServiceTime + o.Spread).Seconds())
	return d, nil
}

// runScenario runs all rounds. Each round runs every policy in turn, so that drifts of the machine's load affect all
// policies alike.
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
		Rank: rank, CapacityQPS: d.capacity, CalibratedQPS: d.calibratedCapacity, Process: processDescription,
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
	for _, bound := range append(s.Bounds, noViolationsBound()) {
		row := own[bound.Rank]
		row.Bounds = append(row.Bounds, bound.result(b))
	}
}

func (d *driver) progress(format string, args ...any) {
	// A failure to write progress messages does not stop the measurement.
	_, _ = fmt.Fprintf(d.errOut, time.Now().Format(time.TimeOnly)+" "+format+"\n", args...)
}
