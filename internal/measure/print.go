package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"oleandersill.example/oleandersill/internal/model"
)

// printer writes rows in the chosen format.
type printer struct {
	format string
	out    io.Writer
}

func newPrinter(format string, out io.Writer) *printer { return &printer{format: format, out: out} }

func (p *printer) print(policies []model.Policy, rows map[model.Policy]map[rowRank]*Row) error {
	var list []*Row
	for _, policy := range policies {
		for _, rank := range rowRanks {
			list = append(list, rows[policy][rank])
		}
	}
	if p.format == FormatJSON {
		return p.printJSON(list)
	}
	return p.printTable(list)
}

func (p *printer) printJSON(rows []*Row) error {
	enc := json.NewEncoder(p.out)
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func (p *printer) printTable(rows []*Row) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 1, ' ', tabwriter.AlignRight)
	head := "scenario\tpolicy\trank\toffered\tcomplete\tpartial\tnot_run\tfailed\tunknown\tp50_ms\tp99_ms\tp999_ms\t" +
		"coverage\textra_load\tgoodput_qps\tlate\tviolations\t\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.5f\t%.3f\t%.1f\t%d\t%d\t\n",
			r.Scenario, r.Policy, r.Rank, r.Offered, r.Complete, r.Partial, r.NotRun, r.Failed, r.Unknown,
			r.P50, r.P99, r.P999, r.CoverageOffered, r.ExtraLoad, r.Goodput, r.LateSends, r.Violations.Total()); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return p.printBounds(rows)
}

func (p *printer) printBounds(rows []*Row) error {
	for _, r := range rows {
		for _, b := range r.Bounds {
			if _, err := fmt.Fprintf(p.out, "  bound %-60s figure %10.4f  limit %10.4f  holds: %s\n",
				b.Bound, b.Figure, b.Limit, b.Holds); err != nil {
				return err
			}
		}
		if r.SpreadMaxMs > 0 {
			if _, err := fmt.Fprintf(p.out, "  configuration changes (%s): in force at a daemon after p99 %.0f ms, at most %.0f ms\n",
				r.Policy, r.SpreadP99Ms, r.SpreadMaxMs); err != nil {
				return err
			}
		}
		if r.CPU != nil {
			if _, err := fmt.Fprintf(p.out, "  cpu (%s): daemons %.0f us a sub-request = decision %.0f + codec %.0f + network %.0f + "+
				"other %.0f + runtime %.0f; whole process %.0f us; %d sub-requests; %s, split by a profile\n", r.Policy, r.CPU.Total,
				r.CPU.Decision, r.CPU.Codec, r.CPU.Network, r.CPU.Other, r.CPU.Runtime, r.CPU.Process, r.CPU.SubRequests,
				r.Process); err != nil {
				return err
			}
		}
		if r.Violations.Total() > 0 {
			if _, err := fmt.Fprintf(p.out, "  violations (%s, %s): %+v\n", r.Policy, r.Rank, r.Violations); err != nil {
				return err
			}
		}
	}
	return nil
}
