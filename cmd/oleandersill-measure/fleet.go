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

// fleetMode is the first argument that selects the measurement of the control planes of many daemons.
const fleetMode = "fleet"

func runFleet(args []string) int {
	fs := flag.NewFlagSet(fleetMode, flag.ContinueOnError)
	footprints := fs.Bool("holdings", false, "measure the footprint of large configurations instead")
	asJSON := fs.Bool("json", false, "print rows as JSON instead of a table")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if *footprints {
		return runFootprints()
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

// footprintServers are the numbers of servers of the measured configurations. The last one is the target size.
var footprintServers = []int{320, 7_300, 73_000}

func runFootprints() int {
	var rows []fleetload.ConfigFootprint
	for _, n := range footprintServers {
		footprint, err := fleetload.MeasureConfigFootprint(n)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		rows = append(rows, footprint)
	}
	if err := fleetload.PrintConfigFootprints(os.Stdout, rows); err != nil {
		return exitFailure
	}
	return 0
}
