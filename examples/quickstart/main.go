// Command quickstart demonstrates oleandersill in one process. It starts stand-ins for the platform and the backend
// servers and eight daemons in three zones, sends queries of each rank and a non-idempotent request, and stops servers.
// It needs only Go:
//
//	go run ./examples/quickstart
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	daemons = 8
	// timeout bounds the whole demonstration.
	timeout = 20 * time.Second
	// serviceTime and spread are the fixed part and the mean of the exponentially distributed part of the time that a
	// backend server takes for a request.
	serviceTime   = 5 * time.Millisecond
	spread        = 2 * time.Millisecond
	itemsPerShard = 5
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	inv, rules, err := documents()
	if err != nil {
		return err
	}
	c, err := cluster.StartUnconfigured(ctx, cluster.Config{
		Inventory: inv, Rules: rules, Policy: model.PolicyDefault, Daemons: daemons,
		ServiceTime: serviceTime, Spread: spread, Items: itemsPerShard, Seed: 1,
	}, zerolog.Nop())
	if err != nil {
		return err
	}
	defer c.Stop()
	fmt.Printf("%d daemons in %d zones; %d backend servers\n\n", daemons, len(inv.Zones), countServers(inv))
	if err := apply(ctx, c); err != nil {
		return err
	}
	if err := c.AwaitReady(ctx); err != nil {
		return err
	}
	d := newDemo(c, os.Stdout)
	err = d.run(ctx)
	return d.finish(err)
}

func countServers(inv model.Inventory) int {
	n := 0
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			n += len(sh.Servers)
		}
	}
	return n
}
