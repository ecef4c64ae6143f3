package query

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"

	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
)

// documentMode is the file mode of the documents that get writes.
const documentMode = 0o600

func getCommand() cli.Command {
	return cli.Command{
		Name:    "get",
		Summary: "show a revision, or write its documents to files for editing",
		Example: "oleandersill get -inventory-out inventory.yaml -rules-out rules.yaml",
		Setup:   setupGet,
	}
}

func setupGet(fs *flag.FlagSet, env *cli.Env) cli.RunFunc {
	client := cli.OperatorFlags(fs, env)
	format := cli.OutputFlag(fs)
	revision := fs.Uint64("revision", 0, "`revision` to show; 0 for the current one")
	inventoryOut := fs.String("inventory-out", "", "write the inventory to this `file`, as YAML")
	rulesOut := fs.String("rules-out", "", "write the rules to this `file`, as YAML")
	return func(ctx context.Context, env *cli.Env) error {
		config, err := getConfig(ctx, client, model.Revision(*revision))
		if err != nil {
			return err
		}
		if err := writeDocument(*inventoryOut, config.Inventory); err != nil {
			return err
		}
		if err := writeDocument(*rulesOut, config.Rules); err != nil {
			return err
		}
		return format.Print(env, config, func(w io.Writer) { writeConfigTable(w, config) })
	}
}

func getConfig(ctx context.Context, client *cli.Client, revision model.Revision) (queryhttp.ConfigResponse, error) {
	path := "/v1/config"
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(uint64(revision), 10)
	}
	var config queryhttp.ConfigResponse
	err := client.Get(ctx, path, &config)
	return config, err
}

func writeDocument(path string, doc any) error {
	if path == "" {
		return nil
	}
	data, err := yaml.Marshal(doc)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, documentMode)
}

func writeConfigTable(w io.Writer, c queryhttp.ConfigResponse) {
	_, _ = fmt.Fprintf(w, "revision %d", c.Revision)
	if c.Root != nil {
		_, _ = fmt.Fprintf(w, " by %s at %s: %s", c.Root.Editor, cli.FormatTime(c.Root.TimeMs), c.Root.Reason)
	} else {
		_, _ = fmt.Fprint(w, " as the daemon has it in force; the store did not answer")
	}
	_, _ = fmt.Fprintf(w, "\n\n")
	cli.WriteRow(w, "SERVICE", "SHARD MAP EPOCH", "SHARDS", "SERVERS", "LEAVING")
	for _, svc := range c.Inventory.Services {
		servers, leaving := countServers(svc)
		cli.WriteRow(w, svc.Name, svc.ShardMapEpoch, len(svc.Shards), servers, leaving)
	}
	_, _ = fmt.Fprintln(w)
	cli.WriteRow(w, "RANK", "MIN SHARE", "TARGET MS", "MAX QUEUE MS")
	for _, r := range c.Rules.Ranks {
		cli.WriteRow(w, r.Rank, r.MinShare, r.TargetMs, r.MaxQueueMs)
	}
}

func countServers(svc model.ServiceSpec) (servers, leaving int) {
	for _, sh := range svc.Shards {
		servers += len(sh.Servers)
		for _, s := range sh.Servers {
			if s.Leaving {
				leaving++
			}
		}
	}
	return servers, leaving
}
