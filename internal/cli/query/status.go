package query

import (
	"context"
	"flag"
	"io"
	"time"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/query/status"
)

func statusCommand() cli.Command {
	return cli.Command{
		Name:    "status",
		Summary: "show one daemon's state and the revision it has in force",
		Example: "oleandersill status -daemon 127.0.0.1:7202",
		Setup:   setupStatus,
	}
}

func setupStatus(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	return func(ctx context.Context, env *cli.Env) error {
		var s status.Status
		if err := client.Get(ctx, "/v1/status", &s); err != nil {
			return err
		}
		return format.Print(env, s, func(w io.Writer) { writeStatusTable(w, s) })
	}
}

func writeStatusTable(w io.Writer, s status.Status) {
	cli.WriteRow(w, "instance", s.Instance)
	cli.WriteRow(w, "zone", s.Zone)
	cli.WriteRow(w, "revision in force", s.Revision)
	cli.WriteRow(w, "editor", s.Editor)
	cli.WriteRow(w, "ready", s.Ready)
	cli.WriteRow(w, "draining", s.Draining)
	cli.WriteRow(w, "relay", s.Relay)
	cli.WriteRow(w, "last contact to the store", formatContactTime(s.StoreContact))
	cli.WriteRow(w, "members alive, suspected, dead", s.Members.Alive, s.Members.Suspected, s.Members.Dead)
	if s.Rejected != nil {
		cli.WriteRow(w, "rejected revision", s.Rejected.Revision, s.Rejected.Reason)
	}
	for _, server := range s.Leaving {
		cli.WriteRow(w, "leaving server", server)
	}
}

func formatContactTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
