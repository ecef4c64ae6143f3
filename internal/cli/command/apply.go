package command

import (
	"context"
	"errors"
	"flag"
	"net/http"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/model"
)

// changeFlags holds the flags that every change of the configuration requires.
type changeFlags struct {
	expect int64
	editor string
	reason string
}

func declareChangeFlags(fs *flag.FlagSet, env *cli.Env) *changeFlags {
	f := &changeFlags{}
	fs.Int64Var(&f.expect, "expect", -1, "`revision` that the edit started from, as get and plan print it; 0 for the first one")
	fs.StringVar(&f.editor, "editor", env.Getenv("USER"), "who makes the change, for the audit trail; default from USER")
	fs.StringVar(&f.reason, "reason", "", "why the change is made, for the audit trail")
	return f
}

func (f *changeFlags) validate() error {
	switch {
	case f.expect < 0:
		return cli.Failf(cli.ExitUsage, "-expect is required: the revision that the edit started from")
	case f.editor == "":
		return cli.Failf(cli.ExitUsage, "-editor is required")
	case f.reason == "":
		return cli.Failf(cli.ExitUsage, "-reason is required")
	}
	return nil
}

func (f *changeFlags) revision() model.Revision {
	return model.Revision(f.expect) //nolint:gosec // validate rejects negative values
}

func applyCommand() cli.Command {
	return cli.Command{
		Name:    "apply",
		Summary: "put an inventory and rules in force",
		Example: "oleandersill apply -inventory inventory.yaml -rules rules.yaml -expect 17 -reason 'two servers for shard 4'",
		Setup:   setupApply,
	}
}

func setupApply(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	files := cli.FileFlags(fs)
	flags := declareChangeFlags(fs, env)
	merge := fs.Bool("merge", false, "combine with changes of other parts that were accepted since -expect")
	return func(ctx context.Context, env *cli.Env) error {
		if err := flags.validate(); err != nil {
			return err
		}
		inv, rules, err := files.Load()
		if err != nil {
			return err
		}
		return sendChange(ctx, env, client, format, "/v1/config/apply", commandhttp.ApplyRequest{
			Inventory: inv, Rules: rules, Expect: flags.revision(), Editor: flags.editor, Reason: flags.reason, Merge: *merge,
		})
	}
}

func rollbackCommand() cli.Command {
	return cli.Command{
		Name:    "rollback",
		Summary: "put an earlier revision's content in force as a new revision",
		Example: "oleandersill rollback -to 15 -expect 17 -reason 'latency rose with 16'",
		Setup:   setupRollback,
	}
}

func setupRollback(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	flags := declareChangeFlags(fs, env)
	to := fs.Uint64("to", 0, "`revision` to go back to")
	return func(ctx context.Context, env *cli.Env) error {
		if *to == 0 {
			return cli.Failf(cli.ExitUsage, "-to is required")
		}
		if err := flags.validate(); err != nil {
			return err
		}
		return sendChange(ctx, env, client, format, "/v1/config/rollback", commandhttp.RollbackRequest{
			To: model.Revision(*to), Expect: flags.revision(), Editor: flags.editor, Reason: flags.reason,
		})
	}
}

// sendChange sends a change of the configuration and prints its verdict.
func sendChange(ctx context.Context, env *cli.Env, client *cli.Client, format *cli.Format, path string, body any) error {
	reply, err := client.Do(ctx, cli.Request{Method: http.MethodPost, Path: path, Body: body})
	var noReply *cli.NoReplyError
	if errors.As(err, &noReply) && noReply.Sent {
		return cli.Failf(cli.ExitUnknown, "unknown: %s\n%s", noReply, unknownAdvice)
	}
	if err != nil {
		return cli.UnavailableFailure(err)
	}
	var answer commandhttp.ApplyResponse
	if err := reply.Decode(&answer); err != nil {
		return err
	}
	if answer.Verdict == "" {
		return reply.Failure()
	}
	return printVerdict(env, format, answer)
}
