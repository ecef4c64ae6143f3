package query

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

func planCommand() cli.Command {
	return cli.Command{
		Name:    "plan",
		Summary: "show what applying an inventory and rules would change",
		Example: "oleandersill plan -inventory inventory.yaml -rules rules.yaml",
		Setup:   setupPlan,
	}
}

// planResult is the difference between the current revision and the documents.
type planResult struct {
	// Revision is the current revision, which apply takes as -expect.
	Revision model.Revision        `json:"revision"`
	Parts    []configdoc.PartName  `json:"parts"`
	Changes  []document.Difference `json:"changes"`
}

func setupPlan(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	files := cli.FileFlags(fs)
	return func(ctx context.Context, env *cli.Env) error {
		inv, rules, err := files.Load()
		if err != nil {
			return err
		}
		current, err := currentConfig(ctx, client)
		if err != nil {
			return err
		}
		plan := planResult{
			Revision: current.Revision,
			Parts:    configdoc.ChangedParts(currentRoot(current), newRoot(inv, rules)),
			Changes:  document.Diff(current.Inventory, current.Rules, inv, rules),
		}
		return format.Print(env, plan, func(w io.Writer) { writePlanTable(w, plan) })
	}
}

// currentConfig returns the current configuration, or an empty one with revision 0 if there is none yet.
func currentConfig(ctx context.Context, client *cli.Client) (queryhttp.ConfigResponse, error) {
	config, err := getConfig(ctx, client, 0)
	var failure *cli.Failure
	if errors.As(err, &failure) && failure.ProblemCode == queryhttp.CodeNoConfiguration {
		return queryhttp.ConfigResponse{}, nil
	}
	return config, err
}

// currentRoot returns the part hashes of the current configuration, or nil if there is none yet.
func currentRoot(c queryhttp.ConfigResponse) *configdoc.Root {
	if c.Revision == 0 {
		return nil
	}
	return newRoot(c.Inventory, c.Rules)
}

// newRoot returns a root that holds only the part hashes of the documents.
func newRoot(inv model.Inventory, rules model.Rules) *configdoc.Root {
	root := &configdoc.Root{Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, p := range configdoc.Split(inv, rules) {
		root.Parts[name] = p.Hash
	}
	return root
}

func writePlanTable(w io.Writer, p planResult) {
	if len(p.Changes) == 0 {
		_, _ = fmt.Fprintf(w, "no change: revision %d has the same content\n", p.Revision)
		return
	}
	for _, d := range p.Changes {
		_, _ = fmt.Fprintln(w, d)
	}
	_, _ = fmt.Fprintf(w, "differences: %d, parts written: %d; apply with -expect %d\n", len(p.Changes), len(p.Parts), p.Revision)
}
