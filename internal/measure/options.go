package measure

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// ErrUsage means that the options are wrong.
var ErrUsage = errors.New("measure: usage")

// Formats of the rows.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Options are the driver's options.
type Options struct {
	Scenarios []string
	Policies  []model.Policy
	// Deployment is a directory under examples, or the path of one, with inventory.yaml and rules.yaml.
	Deployment string
	// Service is the service that is queried; empty means the first one of the inventory.
	Service  model.ServiceName
	Seed     uint64
	Rounds   int
	Duration time.Duration
	Format   string
	// ServiceTime and Spread make up the time that a sub-request holds a slot: a fixed part and the mean of an
	// exponential one.
	ServiceTime time.Duration
	Spread      time.Duration
	// Deadline is what callers ask for; 0 means the rules' default. It bounds every latency, so it must be well above the
	// limits of the bounds.
	Deadline time.Duration
	Daemons  int
	// Workers bounds the load generator.
	Workers int
	// CPU takes a processor profile of each round.
	CPU bool
	// Verbose writes the daemons' warnings to the error output.
	Verbose bool
}

// ParseOptions reads the command line.
func ParseOptions(args []string, errOut io.Writer) (Options, error) {
	var o Options
	var scenarios, policies, service string
	fs := flag.NewFlagSet("oleandersill-measure", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&scenarios, "scenario", "steady", "scenarios, separated by commas; NAME+NAME runs two at once; all")
	fs.StringVar(&policies, "policy", "baseline,default", "policies, separated by commas")
	fs.StringVar(&o.Deployment, "deployment", "", "required: directory with inventory.yaml and rules.yaml, under examples/ or a path")
	fs.StringVar(&service, "service", "", "service to query (default: the first of the inventory)")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and faults")
	fs.IntVar(&o.Rounds, "rounds", 3, "rounds of each policy; rows give medians")
	fs.DurationVar(&o.Duration, "duration", 8*time.Second, "measured time of a round; some scenarios need more")
	fs.StringVar(&o.Format, "format", FormatTable, "table or json")
	fs.DurationVar(&o.ServiceTime, "service-time", 16*time.Millisecond, "fixed part of a sub-request's time in a slot")
	fs.DurationVar(&o.Spread, "spread", 4*time.Millisecond, "mean of the exponential part of a sub-request's time in a slot")
	fs.DurationVar(&o.Deadline, "deadline", time.Second, "deadline of queries; 0 leaves the rules' default")
	fs.IntVar(&o.Daemons, "daemons", 8, "number of daemons")
	fs.IntVar(&o.Workers, "workers", 2048, "number of workers of the load generator")
	fs.BoolVar(&o.CPU, "cpu", false, "profile the process and state the daemons' processor time for a sub-request")
	fs.BoolVar(&o.Verbose, "verbose", false, "write the daemons' warnings to the error output")
	if err := fs.Parse(args); err != nil {
		return o, errors.Mark(err, ErrUsage)
	}
	o.Scenarios = strings.Split(scenarios, ",")
	o.Service = model.ServiceName(service)
	for _, p := range strings.Split(policies, ",") {
		o.Policies = append(o.Policies, model.Policy(p))
	}
	return o, o.check()
}

func (o *Options) check() error {
	switch {
	case o.Format != FormatTable && o.Format != FormatJSON:
		return errors.Wrapf(ErrUsage, "format %q is neither table nor json", o.Format)
	case o.Rounds < 1 || o.Duration <= 0 || o.Daemons < 1 || o.Workers < 1:
		return errors.Wrap(ErrUsage, "rounds, duration, daemons and workers must be positive")
	}
	for _, p := range o.Policies {
		if p != model.PolicyDefault && p != model.PolicyDirect && p != model.PolicyBaseline {
			return errors.Wrapf(ErrUsage, "policy %q is neither default nor baseline", p)
		}
	}
	return nil
}
