package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/model"
)

const (
	search    model.ServiceName = "search"
	bookmarks model.ServiceName = "bookmarks"
	// detectionTime is how long the demonstration waits for the daemons to detect a stopped or restarted server.
	detectionTime = 1500 * time.Millisecond
)

// demo runs the steps, adds a table row for each request, and fails if an outcome is not the expected one.
type demo struct {
	cluster *cluster.Cluster
	table   *tabwriter.Writer
	// next counts the requests sent; requests go to the daemons in round-robin order, as from a load balancer.
	next int
}

func newDemo(c *cluster.Cluster, out io.Writer) *demo {
	d := &demo{cluster: c, table: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	d.row("STEP", "CALLER", "OUTCOME", "COVERAGE", "ITEMS", "TIME", "NOTE")
	return d
}

func (d *demo) row(cells ...string) {
	// tabwriter buffers the rows; finish returns write errors.
	_, _ = fmt.Fprintln(d.table, strings.Join(cells, "\t"))
}

// finish prints the table and returns err or, if it is nil, the error of printing.
func (d *demo) finish(err error) error {
	if flushErr := d.table.Flush(); err == nil {
		err = flushErr
	}
	return err
}

func (d *demo) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.ranks, d.nonIdempotent, d.stoppedServers} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ranks sends a query of each rank.
func (d *demo) ranks(ctx context.Context) error {
	for _, caller := range []string{"app (urgent)", "website (standard)", "crawler (deferred)"} {
		if err := d.query(ctx, "query", caller, model.OutcomeComplete); err != nil {
			return err
		}
	}
	return nil
}

// nonIdempotent saves a bookmark and repeats the request with the same key, as a caller does that received no response.
func (d *demo) nonIdempotent(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for _, step := range []string{"save a bookmark", "repeat with the same key"} {
		r, err := d.execute(ctx, key.String())
		if err != nil {
			return err
		}
		runs := d.cluster.Record(bookmarks).RunsByKey()[key.String()]
		note := fmt.Sprintf("runs on all servers: %d; recorded result: %t", runs, r.body.Recorded)
		d.row(step, "app (urgent)", r.outcome, "-", "-", milliseconds(r.took), note)
		if r.outcome != string(model.OutcomeComplete) || runs != 1 {
			return fmt.Errorf("%s: outcome %s after %d runs, want complete after 1", step, r.outcome, runs)
		}
	}
	return nil
}

// stoppedServers stops one replica of a shard, then the other, and starts both again.
func (d *demo) stoppedServers(ctx context.Context) error {
	shard := d.cluster.Service(search).Shards[0]
	first, second := shard.Servers[0].Name, shard.Servers[1].Name
	steps := []struct {
		name   string
		change func() error
		want   model.Outcome
	}{
		{"stop " + string(first), d.stop(first), model.OutcomeComplete},
		{"stop " + string(second), d.stop(second), model.OutcomePartial},
		{"start both again", d.restart(first, second), model.OutcomeComplete},
	}
	for _, s := range steps {
		if err := s.change(); err != nil {
			return err
		}
		if err := pause(ctx, detectionTime); err != nil {
			return err
		}
		if err := d.query(ctx, s.name, "app (urgent)", s.want); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) stop(name model.ServerName) func() error {
	return func() error {
		d.cluster.Server(name).Crash()
		return nil
	}
}

func (d *demo) restart(names ...model.ServerName) func() error {
	return func() error {
		for _, name := range names {
			if err := d.cluster.Server(name).Restart(); err != nil {
				return err
			}
		}
		return nil
	}
}

// query sends a query, adds its row and checks its outcome.
func (d *demo) query(ctx context.Context, step, caller string, want model.Outcome) error {
	r, err := d.search(ctx, caller)
	if err != nil {
		return err
	}
	coverage := r.body.Coverage
	note := fmt.Sprintf("index version %d", r.body.Version)
	if len(coverage.Missing) > 0 {
		note += fmt.Sprintf("; missing %v", coverage.Missing)
	}
	d.row(step, caller, r.outcome, fmt.Sprintf("%d of %d shards", coverage.ShardsAnswered, coverage.ShardsAsked),
		fmt.Sprint(len(r.body.Items)), milliseconds(r.took), note)
	if r.outcome != string(want) || r.body.Outcome != want {
		return fmt.Errorf("%s: outcome %s, want %s", step, r.outcome, want)
	}
	return nil
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
