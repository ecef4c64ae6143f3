package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"
)

// Format is how a sub-command prints its result.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatYAML  Format = "yaml"
)

// String implements flag.Value.
func (f *Format) String() string { return string(*f) }

// Set implements flag.Value.
func (f *Format) Set(value string) error {
	switch Format(value) {
	case FormatTable, FormatJSON, FormatYAML:
		*f = Format(value)
		return nil
	}
	return errors.New("must be table, json or yaml")
}

// OutputFlag declares -o.
func OutputFlag(fs *flag.FlagSet) *Format {
	f := FormatTable
	fs.Var(&f, "o", "output `format`: table, json or yaml")
	return &f
}

// Print writes a result: value as JSON or YAML, with the field names of its JSON form, or what table writes.
func (f *Format) Print(env *Env, value any, table func(w io.Writer)) error {
	var out bytes.Buffer
	switch *f {
	case FormatJSON:
		enc := json.NewEncoder(&out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(value); err != nil {
			return err
		}
	case FormatYAML:
		if err := writeYAML(&out, value); err != nil {
			return err
		}
	case FormatTable:
		tw := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		table(tw)
		if err := tw.Flush(); err != nil {
			return err
		}
	}
	return write(env.Stdout, out.Bytes())
}

// write leaves out what a reader that went away would not see.
func write(w io.Writer, data []byte) error {
	_, err := w.Write(data)
	if errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// writeYAML goes through JSON, so that both formats have the same fields in the same order.
func writeYAML(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	blockStyle(&node)
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	return enc.Encode(&node)
}

// blockStyle removes the flow style and the quotes that the JSON form has; the encoder quotes where it has to.
func blockStyle(n *yaml.Node) {
	n.Style = 0
	for _, child := range n.Content {
		blockStyle(child)
	}
}

// WriteRow writes the cells of a table's row; the table is a tabwriter.
func WriteRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}

// FormatTime formats Unix milliseconds for a table.
func FormatTime(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }
