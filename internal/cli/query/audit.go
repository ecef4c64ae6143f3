package query

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// auditPage is the number of changes asked for at a time.
const auditPage = 100

func auditCommand() cli.Command {
	return cli.Command{
		Name:    "audit",
		Summary: "list the accepted changes, newest first",
		Example: "oleandersill audit -limit 50",
		Setup:   setupAudit,
	}
}

func setupAudit(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	limit := fs.Int("limit", 20, "largest number of changes")
	from := fs.String("from", "", "`hash` of the root to start from, as printed at the end of a shortened list")
	return func(ctx context.Context, env *cli.Env) error {
		if *limit < 1 {
			return cli.Failf(cli.ExitUsage, "-limit must be 1 or more")
		}
		trail, err := readTrail(ctx, client, configdoc.Hash(*from), *limit)
		if err != nil {
			return err
		}
		return format.Print(env, trail, func(w io.Writer) { auditTable(w, trail) })
	}
}

func readTrail(ctx context.Context, client *cli.Client, from configdoc.Hash, limit int) (queryhttp.AuditResponse, error) {
	trail := queryhttp.AuditResponse{Changes: []configdoc.Change{}, Next: from}
	for {
		q := url.Values{"limit": {strconv.Itoa(min(auditPage, limit-len(trail.Changes)))}}
		if trail.Next != "" {
			q.Set("from", string(trail.Next))
		}
		var page queryhttp.AuditResponse
		if err := client.Get(ctx, "/v1/audit?"+q.Encode(), &page); err != nil {
			return trail, err
		}
		trail.Changes = append(trail.Changes, page.Changes...)
		trail.Next = page.Next
		if page.Next == "" || len(trail.Changes) >= limit {
			return trail, nil
		}
	}
}

func auditTable(w io.Writer, trail queryhttp.AuditResponse) {
	cli.WriteRow(w, "REVISION", "TIME", "EDITOR", "REASON", "PARTS")
	for _, c := range trail.Changes {
		names := make([]string, len(c.Parts))
		for i, p := range c.Parts {
			names[i] = string(p)
		}
		cli.WriteRow(w, c.Revision, cli.FormatTime(c.TimeMs), c.Editor, c.Reason, strings.Join(names, ", "))
	}
	if trail.Next != "" {
		_, _ = fmt.Fprintf(w, "older changes: -from %s\n", trail.Next)
	}
}
