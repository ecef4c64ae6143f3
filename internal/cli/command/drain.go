package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/command/commandhttp"
)

func drainCommand() cli.Command {
	return cli.Command{
		Name:    "drain",
		Summary: "stop one daemon gracefully",
		Example: "oleandersill drain -daemon 127.0.0.1:7202",
		Setup:   setupDrain,
	}
}

func setupDrain(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	return func(ctx context.Context, env *cli.Env) error {
		reply, err := client.Do(ctx, cli.Request{Method: http.MethodPost, Path: "/v1/drain"})
		if err != nil {
			return cli.UnavailableFailure(err)
		}
		if reply.Status != http.StatusAccepted {
			return reply.Failure()
		}
		var answer commandhttp.DrainResponse
		if err := reply.Decode(&answer); err != nil {
			return err
		}
		return format.Print(env, answer, func(w io.Writer) {
			if answer.Started {
				_, _ = fmt.Fprintln(w, "draining: the daemon ends once its requests have ended")
				return
			}
			_, _ = fmt.Fprintln(w, "the daemon was draining already")
		})
	}
}
