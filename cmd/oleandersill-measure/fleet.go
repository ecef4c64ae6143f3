package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oleandersill.example/oleandersill/internal/measure/fleetload"
)

// fleetMode is the first argument that selects the measurement of the control part of many daemons.
const fleetMode = "fleet"

func runFleet(args []string) int {
	fs := flag.NewFlagSet(fleetMode, flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print rows as JSON instead of a table")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := fleetload.Run(ctx, fleetload.DefaultOptions())
	write := fleetload.PrintTable
	if *asJSON {
		write = fleetload.PrintJSON
	}
	if writeErr := write(os.Stdout, rows); writeErr != nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
