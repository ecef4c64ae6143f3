package query

import (
	"context"
	"errors"
	"flag"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

func importCommand() cli.Command {
	return cli.Command{
		Name:    "import",
		Summary: "make an inventory from an asset register's CSV or JSON export",
		Example: "oleandersill import -file assets.csv -map server='Asset Tag' -map address=IP -max-instances 8 > inventory.yaml",
		Setup:   setupImport,
	}
}

// headerMap collects the values of -map: the header of the export for each column of an inventory.
type headerMap map[document.Column]string

// String implements flag.Value.
func (m headerMap) String() string { return "" }

// Set implements flag.Value.
func (m headerMap) Set(value string) error {
	column, header, ok := strings.Cut(value, "=")
	if !ok || column == "" || header == "" {
		return errors.New("must be COLUMN=HEADER")
	}
	m[document.Column(column)] = header
	return nil
}

func setupImport(fs *flag.FlagSet, _ *cli.Env) cli.RunFunc {
	o := document.CSVOptions{Headers: map[document.Column]string{}}
	path := fs.String("file", "", "export `file`; JSON, in the form of an inventory, if its name ends in .json, otherwise CSV")
	fs.Var(headerMap(o.Headers), "map", "`COLUMN=HEADER`: the header of a column of the export; may be repeated")
	separator := fs.String("separator", ",", "`character` between fields")
	fs.IntVar(&o.MaxInstances, "max-instances", 0, "largest number of daemons, for max_instances")
	fs.IntVar(&o.SurgeInstances, "surge-instances", 0, "largest number of additional daemons while instances are replaced, for surge_instances")
	format := cli.FormatYAML
	fs.Var(&format, "o", "output `format`: yaml or json")
	return func(_ context.Context, env *cli.Env) error {
		r, size := utf8.DecodeRuneInString(*separator)
		if size == 0 || size != len(*separator) || strings.ContainsRune("\"\r\n", r) || r == utf8.RuneError {
			return cli.Failf(cli.ExitUsage, "-separator must be one character")
		}
		if format != cli.FormatYAML && format != cli.FormatJSON {
			return cli.Failf(cli.ExitUsage, "-o must be yaml or json")
		}
		o.Separator = r
		inv, err := importFile(*path, o)
		if err != nil {
			return err
		}
		if format == cli.FormatJSON {
			return format.Print(env, inv, nil)
		}
		data, err := yaml.Marshal(inv)
		if err != nil {
			return err
		}
		_, err = env.Stdout.Write(data)
		return err
	}
}

func importFile(path string, o document.CSVOptions) (model.Inventory, error) {
	data, err := cli.ReadFile("file", path)
	if err != nil {
		return model.Inventory{}, err
	}
	var inv model.Inventory
	var problems validation.Problems
	if strings.HasSuffix(path, ".json") {
		inv, problems = document.DecodeInventory(path, data)
	} else {
		inv, problems = document.ImportCSV(path, data, o)
	}
	return inv, problems.Err()
}
