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
	holdings := fs.Bool("holdings", false, "measure what a daemon holds of large configurations instead")
	asJSON := fs.Bool("json", false, "print rows as JSON instead of a table")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if *holdings {
		return runHoldings()
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

// holdingSizes are the numbers of servers whose configuration is measured; the last one is the target.
var holdingSizes = []int{320, 7_300, 73_000}

func runHoldings() int {
	var rows []fleetload.ConfigFootprint
	for _, n := range holdingSizes {
		h, err := fleetload.MeasureConfigFootprint(n)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		rows = append(rows, h)
	}
	if err := fleetload.PrintConfigFootprints(os.Stdout, rows); err != nil {
		return exitFailure
	}
	return 0
}
