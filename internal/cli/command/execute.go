package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/httpapi"
)

func executeCommand() cli.Command {
	return cli.Command{
		Name:    "execute",
		Summary: "run one non-idempotent request, at most once",
		Example: "oleandersill execute -service payout-ledger -caller desk -body '{\"amount\": 5}'",
		Setup:   setupExecute,
	}
}

type executeFlags struct {
	service, caller, key, routingKey, body string
	deadlineMs                             int
}

func setupExecute(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.CallerFlags(fs, env)
	format := cli.OutputFlag(fs)
	var f executeFlags
	fs.StringVar(&f.service, "service", "", "`name` of the service")
	fs.StringVar(&f.caller, "caller", "operator", "`name` of the caller, which decides the rank")
	fs.StringVar(&f.key, "key", "", "idempotency `key`, a UUIDv7; give the key of an earlier attempt to retry it, otherwise a new key is generated")
	fs.StringVar(&f.routingKey, "routing-key", "", "`key` that selects the shard; default is the idempotency key")
	fs.StringVar(&f.body, "body", "", "`text` passed to the server")
	fs.IntVar(&f.deadlineMs, "deadline-ms", 0, "deadline in `milliseconds`; 0 for the default of the rules")
	return func(ctx context.Context, env *cli.Env) error { return execute(ctx, env, client, format, f) }
}

func execute(ctx context.Context, env *cli.Env, client *cli.Client, format *cli.Format, f executeFlags) error {
	if f.service == "" {
		return cli.Failf(cli.ExitUsage, "-service is required")
	}
	header := map[string]string{httpapi.HeaderCaller: f.caller}
	if f.deadlineMs > 0 {
		header[httpapi.HeaderDeadline] = strconv.Itoa(f.deadlineMs)
	}
	if f.key == "" {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		f.key = key.String()
		header[commandhttp.HeaderFirstAttempt] = "true"
	}
	header[httpapi.HeaderIdempotencyKey] = f.key
	// The key is printed before the request is sent, so that an interrupted request can be repeated with the same key.
	_, _ = fmt.Fprintf(env.Stderr, "idempotency key: %s\n", f.key)
	reply, err := client.Do(ctx, cli.Request{
		Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(f.service) + "/execute", Header: header,
		Body: commandhttp.ExecuteRequest{RoutingKey: f.routingKey, Body: f.body},
	})
	var noReply *cli.NoReplyError
	if errors.As(err, &noReply) && noReply.Sent {
		return cli.Failf(cli.ExitUnknown, "unknown: %s\nRun the command again with -key %s: it never runs the request twice.", noReply, f.key)
	}
	if err != nil {
		return cli.UnavailableFailure(err)
	}
	return printExecuteResult(env, format, reply)
}

func printExecuteResult(env *cli.Env, format *cli.Format, reply cli.Reply) error {
	var answer commandhttp.ExecuteResponse
	if err := reply.Decode(&answer); err != nil {
		return err
	}
	if answer.Outcome == "" {
		return reply.Failure()
	}
	err := format.Print(env, answer, func(w io.Writer) {
		cli.WriteRow(w, "OUTCOME", "REASON", "RECORDED", "RESULT")
		cli.WriteRow(w, answer.Outcome, answer.Reason, answer.Recorded, answer.Result)
	})
	if err != nil {
		return err
	}
	return cli.OutcomeFailure(answer.Outcome)
}
