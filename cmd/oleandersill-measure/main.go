// Command oleandersill-measure is the measurement driver. It runs scenarios against daemons and stand-ins at the full size of
// a deployment, and prints rows of figures with the bounds that they must meet.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/measure"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == fleetMode {
		return runFleet(os.Args[2:])
	}
	options, err := measure.ParseOptions(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err == nil {
		err = measure.Run(ctx, options, os.Stdout, os.Stderr)
	}
	switch {
	case errors.Is(err, measure.ErrUsage):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
