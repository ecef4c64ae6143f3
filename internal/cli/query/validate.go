package query

import (
	"context"
	"flag"
	"fmt"
	"io"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/validation"
)

func validateCommand() cli.Command {
	return cli.Command{
		Name:    "validate",
		Summary: "check an inventory and rules without a daemon",
		Example: "oleandersill validate -inventory inventory.yaml -rules rules.yaml",
		Setup:   setupValidate,
	}
}

func setupValidate(fs *flag.FlagSet, _ *cli.Env) cli.RunFunc {
	format := cli.OutputFlag(fs)
	files := cli.FileFlags(fs)
	return func(_ context.Context, env *cli.Env) error {
		inv, _, err := files.Load()
		problems := validation.FromError(err)
		if err != nil && problems == nil {
			return err
		}
		list := cli.ProblemList{Valid: len(problems) == 0, Problems: problems}
		printErr := format.Print(env, list, func(w io.Writer) {
			for _, p := range problems {
				_, _ = fmt.Fprintln(w, p)
			}
			if list.Valid {
				_, _ = fmt.Fprintf(w, "valid: %d services in %d zones\n", len(inv.Services), len(inv.Zones))
			}
		})
		if printErr != nil || list.Valid {
			return printErr
		}
		return &cli.Failure{Code: cli.ExitUsage}
	}
}
