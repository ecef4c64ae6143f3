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

// auditPageSize is the largest number of changes that one request asks for.
const auditPageSize = 100

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
		auditTrail, err := fetchAuditTrail(ctx, client, configdoc.Hash(*from), *limit)
		if err != nil {
			return err
		}
		return format.Print(env, auditTrail, func(w io.Writer) { writeAuditTable(w, auditTrail) })
	}
}

func fetchAuditTrail(ctx context.Context, client *cli.Client, from configdoc.Hash, limit int) (queryhttp.AuditResponse, error) {
	auditTrail := queryhttp.AuditResponse{Changes: []configdoc.Change{}, Next: from}
	for {
		q := url.Values{"limit": {strconv.Itoa(min(auditPageSize, limit-len(auditTrail.Changes)))}}
		if auditTrail.Next != "" {
			q.Set("from", string(auditTrail.Next))
		}
		var page queryhttp.AuditResponse
		if err := client.Get(ctx, "/v1/audit?"+q.Encode(), &page); err != nil {
			return auditTrail, err
		}
		auditTrail.Changes = append(auditTrail.Changes, page.Changes...)
		auditTrail.Next = page.Next
		if page.Next == "" || len(auditTrail.Changes) >= limit {
			return auditTrail, nil
		}
	}
}

func writeAuditTable(w io.Writer, auditTrail queryhttp.AuditResponse) {
	cli.WriteRow(w, "REVISION", "TIME", "EDITOR", "REASON", "PARTS")
	for _, c := range auditTrail.Changes {
		names := make([]string, len(c.Parts))
		for i, p := range c.Parts {
			names[i] = string(p)
		}
		cli.WriteRow(w, c.Revision, cli.FormatTime(c.TimeMs), c.Editor, c.Reason, strings.Join(names, ", "))
	}
	if auditTrail.Next != "" {
		_, _ = fmt.Fprintf(w, "older changes: -from %s\n", auditTrail.Next)
	}
}
