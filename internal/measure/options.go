package measure

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// ErrUsage means that the command line options are invalid.
var ErrUsage = errors.New("measure: usage")

// Output formats of the rows.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Options are the options of the measurement driver.
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
	// A sub-request holds a slot for ServiceTime plus an exponentially distributed time with the mean Spread.
	ServiceTime time.Duration
	Spread      time.Duration
	// Deadline is the deadline that callers request; 0 means the rules' default. It limits every latency, so it must be well
	// above the limits of the latency bounds.
	Deadline time.Duration
	Daemons  int
	// Workers is the number of workers of the load generator, which limits its concurrent requests.
	Workers int
	// CPU enables a CPU profile of each round.
	CPU bool
	// Verbose writes the daemons' warnings to standard error.
	Verbose bool
}

// ParseOptions parses command line arguments. Usage messages are written to errOut.
func ParseOptions(args []string, errOut io.Writer) (Options, error) {
	var o Options
	var scenarios, policies, service string
	fs := flag.NewFlagSet("oleandersill-measure", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&scenarios, "scenario", "steady", "comma-separated scenarios; NAME+NAME runs two at once; \"all\" runs all but the long ones")
	fs.StringVar(&policies, "policy", "baseline,default", "comma-separated policies")
	fs.StringVar(&o.Deployment, "deployment", "", "required: directory with inventory.yaml and rules.yaml, under examples/ or a path")
	fs.StringVar(&service, "service", "", "service to query (default: the first of the inventory)")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed for arrivals and faults")
	fs.IntVar(&o.Rounds, "rounds", 3, "rounds per policy; rows report medians")
	fs.DurationVar(&o.Duration, "duration", 8*time.Second, "measured time of a round; some scenarios take longer")
	fs.StringVar(&o.Format, "format", FormatTable, "table or json")
	fs.DurationVar(&o.ServiceTime, "service-time", 16*time.Millisecond, "fixed part of the time that a sub-request holds a slot")
	fs.DurationVar(&o.Spread, "spread", 4*time.Millisecond, "mean of the exponentially distributed part of the time that a sub-request holds a slot")
	fs.DurationVar(&o.Deadline, "deadline", time.Second, "deadline of queries; 0 uses the default of the rules")
	fs.IntVar(&o.Daemons, "daemons", 8, "number of daemons")
	fs.IntVar(&o.Workers, "workers", 2048, "number of workers of the load generator")
	fs.BoolVar(&o.CPU, "cpu", false, "profile the process and report the daemons' CPU time per sub-request")
	fs.BoolVar(&o.Verbose, "verbose", false, "write the daemons' warnings to standard error")
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
			return errors.Wrapf(ErrUsage, "policy %q is not default, direct or baseline", p)
		}
	}
	return nil
}
