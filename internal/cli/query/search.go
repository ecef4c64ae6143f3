package query

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/httpapi"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

func searchCommand() cli.Command {
	return cli.Command{
		Name:    "query",
		Summary: "send one query to a service; a partial answer exits with 1",
		Example: "oleandersill query -service phrase-search -caller app -text 'good morning' -limit 5",
		Setup:   setupSearch,
	}
}

func setupSearch(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.CallerFlags(fs, env)
	format := cli.OutputFlag(fs)
	service := fs.String("service", "", "`name` of the service")
	caller := fs.String("caller", "operator", "`name` of the caller, which decides the rank")
	text := fs.String("text", "", "`text` to look for")
	limit := fs.Int("limit", 10, "largest number of items")
	deadlineMs := fs.Int("deadline-ms", 0, "deadline in `milliseconds`; 0 for the default of the rules")
	return func(ctx context.Context, env *cli.Env) error {
		if *service == "" {
			return cli.Failf(cli.ExitUsage, "-service is required")
		}
		header := map[string]string{httpapi.HeaderCaller: *caller}
		if *deadlineMs > 0 {
			header[httpapi.HeaderDeadline] = strconv.Itoa(*deadlineMs)
		}
		reply, err := client.Do(ctx, cli.Request{
			Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(*service) + "/query", Header: header,
			Body: queryhttp.SearchRequest{Text: *text, Limit: *limit},
		})
		if err != nil {
			return cli.UnavailableFailure(err)
		}
		return printAnswer(env, format, reply)
	}
}

func printAnswer(env *cli.Env, format *cli.Format, reply cli.Reply) error {
	var answer queryhttp.SearchResponse
	if err := reply.Decode(&answer); err != nil {
		return err
	}
	if answer.Outcome == "" {
		return reply.Failure()
	}
	if err := format.Print(env, answer, func(w io.Writer) { writeAnswerTable(w, answer) }); err != nil {
		return err
	}
	return cli.OutcomeFailure(answer.Outcome)
}

func writeAnswerTable(w io.Writer, a queryhttp.SearchResponse) {
	_, _ = fmt.Fprintf(w, "%s: %d of %d shards, %.2f%% of the key space, index version %d, revision %d\n", a.Outcome,
		a.Coverage.ShardsAnswered, a.Coverage.ShardsAsked, 100*a.Coverage.Fraction, a.Version, a.Revision)
	if a.Reason != "" {
		_, _ = fmt.Fprintf(w, "reason: %s\n", a.Reason)
	}
	if len(a.Coverage.Missing) > 0 {
		_, _ = fmt.Fprintf(w, "missing: %v\n", a.Coverage.Missing)
	}
	cli.WriteRow(w, "SCORE", "KEY", "BODY")
	for _, item := range a.Items {
		cli.WriteRow(w, item.Score, item.Key, item.Body)
	}
}
