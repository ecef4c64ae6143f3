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
	// settle is the time for a stopped or restarted server to be noticed.
	settle = 1500 * time.Millisecond
)

// demo runs the steps, prints a row for each, and compares the outcomes with those promised.
type demo struct {
	cluster *cluster.Cluster
	table   *tabwriter.Writer
	// next is the daemon that gets the next request, as a load balancer would pick in turn.
	next int
}

func newDemo(c *cluster.Cluster, out io.Writer) *demo {
	t := &demo{cluster: c, table: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row("STEP", "CALLER", "OUTCOME", "COVERAGE", "ITEMS", "TIME", "NOTE")
	return t
}

func (t *demo) row(cells ...string) {
	// A failure to write shows in finish.
	_, _ = fmt.Fprintln(t.table, strings.Join(cells, "\t"))
}

// finish prints the table and returns the first error.
func (t *demo) finish(err error) error {
	if flushErr := t.table.Flush(); err == nil {
		err = flushErr
	}
	return err
}

func (t *demo) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{t.ranks, t.nonIdempotent, t.stoppedServers} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ranks sends a query of each rank.
func (t *demo) ranks(ctx context.Context) error {
	for _, caller := range []string{"app (urgent)", "website (standard)", "crawler (deferred)"} {
		if err := t.query(ctx, "query", caller, model.OutcomeComplete); err != nil {
			return err
		}
	}
	return nil
}

// nonIdempotent saves a bookmark and repeats the request with the same key, as a caller does that lost the answer.
func (t *demo) nonIdempotent(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for _, step := range []string{"save a bookmark", "repeat with the same key"} {
		a, err := t.execute(ctx, key.String())
		if err != nil {
			return err
		}
		runs := t.cluster.Record(bookmarks).RunsByKey()[key.String()]
		note := fmt.Sprintf("runs on all servers: %d; recorded result: %t", runs, a.body.Recorded)
		t.row(step, "app (urgent)", a.outcome, "-", "-", milliseconds(a.took), note)
		if a.outcome != string(model.OutcomeComplete) || runs != 1 {
			return fmt.Errorf("%s: outcome %s after %d runs, want complete after 1", step, a.outcome, runs)
		}
	}
	return nil
}

// stoppedServers stops one replica of a shard, then the other, and starts both again.
func (t *demo) stoppedServers(ctx context.Context) error {
	shard := t.cluster.Service(search).Shards[0]
	first, second := shard.Servers[0].Name, shard.Servers[1].Name
	steps := []struct {
		name   string
		change func() error
		want   model.Outcome
	}{
		{"stop " + string(first), t.stop(first), model.OutcomeComplete},
		{"stop " + string(second), t.stop(second), model.OutcomePartial},
		{"start both again", t.restart(first, second), model.OutcomeComplete},
	}
	for _, s := range steps {
		if err := s.change(); err != nil {
			return err
		}
		if err := pause(ctx, settle); err != nil {
			return err
		}
		if err := t.query(ctx, s.name, "app (urgent)", s.want); err != nil {
			return err
		}
	}
	return nil
}

func (t *demo) stop(name model.ServerName) func() error {
	return func() error {
		t.cluster.Server(name).Crash()
		return nil
	}
}

func (t *demo) restart(names ...model.ServerName) func() error {
	return func() error {
		for _, name := range names {
			if err := t.cluster.Server(name).Restart(); err != nil {
				return err
			}
		}
		return nil
	}
}

// query sends a query and prints its row.
func (t *demo) query(ctx context.Context, step, caller string, want model.Outcome) error {
	a, err := t.search(ctx, caller)
	if err != nil {
		return err
	}
	cov := a.body.Coverage
	note := fmt.Sprintf("index version %d", a.body.Version)
	if len(cov.Missing) > 0 {
		note += fmt.Sprintf("; missing %v", cov.Missing)
	}
	t.row(step, caller, a.outcome, fmt.Sprintf("%d of %d shards", cov.ShardsAnswered, cov.ShardsAsked),
		fmt.Sprint(len(a.body.Items)), milliseconds(a.took), note)
	if a.outcome != string(want) || a.body.Outcome != want {
		return fmt.Errorf("%s: outcome %s, want %s", step, a.outcome, want)
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
