// Command oleandersill-standin serves stand-ins for the platform and for the backend servers of an inventory. Faults can
// be injected while it runs, through its control endpoint (package internal/standin/control).
package main

import (
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/control"
	"oleandersill.example/oleandersill/internal/standin/netfault"
	"oleandersill.example/oleandersill/internal/standin/site"
	"oleandersill.example/oleandersill/internal/telemetry"
)

const exitUsage = 2

// options holds the values of the command-line flags.
type options struct {
	platform  string
	control   string
	inventory string
	server    backendserver.Config
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o, err := parse(args)
	if err != nil {
		return exitUsage
	}
	log := telemetry.NewLogger(os.Stderr, zerolog.InfoLevel)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, err := start(o, log)
	if err != nil {
		log.Error().Err(err).Msg("start_failed")
		return 1
	}
	<-signals
	stop()
	log.Info().Msg("stopped")
	return 0
}

func parse(args []string) (options, error) {
	o := options{server: backendserver.Config{Version: 1}}
	fs := flag.NewFlagSet("oleandersill-standin", flag.ContinueOnError)
	fs.StringVar(&o.platform, "platform", "127.0.0.1:7000", "address of the platform stand-in")
	fs.StringVar(&o.control, "control", "", "address of the control endpoint; empty for none")
	fs.StringVar(&o.inventory, "inventory", "", "path of the inventory whose servers are served")
	fs.DurationVar(&o.server.ServiceTime, "service-time", 4*time.Millisecond, "least time for which a request runs")
	fs.DurationVar(&o.server.Spread, "spread", 0, "mean of an exponential addition to the service time")
	fs.Float64Var(&o.server.TailRatio, "tail-ratio", 0, "fraction of requests that take tail-factor times as long")
	fs.Float64Var(&o.server.TailFactor, "tail-factor", 1, "factor of the service time of requests in the tail")
	fs.DurationVar(&o.server.ColdFor, "cold-for", 0, "time after a start for which requests take cold-factor times as long")
	fs.Float64Var(&o.server.ColdFactor, "cold-factor", 1, "factor of the service time of a cold server")
	fs.IntVar(&o.server.Queue, "queue", backendserver.DefaultQueue, "requests that wait for a slot; -1 for none")
	fs.IntVar(&o.server.Items, "items", 200, "matches in each shard")
	fs.Uint64Var(&o.server.Seed, "seed", 1, "seed of service times and fault draws")
	return o, fs.Parse(args)
}

// start serves the stand-ins and returns a function that stops them.
func start(o options, log zerolog.Logger) (stop func(), err error) {
	data, err := os.ReadFile(o.inventory)
	if err != nil {
		return nil, err
	}
	inventory, problems := document.DecodeInventory(o.inventory, data)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	s, err := site.Start(site.Config{PlatformAddress: o.platform, Inventory: inventory, Server: o.server})
	if err != nil {
		return nil, err
	}
	closers := []func(){s.Close}
	if o.control != "" {
		endpoint := netfault.NewEndpoint(control.New(s, log), netfault.Config{})
		if err := endpoint.Open(o.control); err != nil {
			s.Close()
			return nil, err
		}
		closers = append([]func(){endpoint.Close}, closers...)
	}
	log.Info().Str("platform_address", s.PlatformAddress()).Int("servers", s.ServerCount()).Msg("started")
	return func() {
		for _, closeFunc := range closers {
			closeFunc()
		}
	}, nil
}
