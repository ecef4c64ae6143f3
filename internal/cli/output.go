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

// Format is the output format of a sub-command's result.
type Format string

// Output formats.
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

// OutputFlag declares -o, with FormatTable as the default.
func OutputFlag(fs *flag.FlagSet) *Format {
	f := FormatTable
	fs.Var(&f, "o", "output `format`: table, json or yaml")
	return &f
}

// Print writes a result to standard output: value as JSON, value as YAML with the same field names, or the output of
// table.
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
	return writeOutput(env.Stdout, out.Bytes())
}

// writeOutput writes data and ignores EPIPE, so that the exit code does not depend on whether the reader has closed the
// pipe.
func writeOutput(w io.Writer, data []byte) error {
	_, err := w.Write(data)
	if errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// writeYAML encodes value by way of JSON, so that both formats have the same fields in the same order.
func writeYAML(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	setBlockStyle(&node)
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	return enc.Encode(&node)
}

// setBlockStyle removes the flow style and the quotes of the JSON form; the encoder quotes where YAML requires it.
func setBlockStyle(n *yaml.Node) {
	n.Style = 0
	for _, child := range n.Content {
		setBlockStyle(child)
	}
}

// WriteRow writes a row of a table to w, which is a tabwriter.Writer.
func WriteRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}

// FormatTime formats a time in Unix milliseconds as RFC 3339 in UTC.
func FormatTime(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }
