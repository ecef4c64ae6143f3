package fleetload

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Phase is the phase of the measurement that a row covers.
type Phase string

// The phases, in the order in which they run.
const (
	PhaseStart   Phase = "start"
	PhaseSteady  Phase = "steady"
	PhaseChanges Phase = "changes"
	PhaseLeaving Phase = "leaving_server"
	PhaseOutage  Phase = "after_outage"
	PhaseRestart Phase = "restart_all"
)

// Row is the result of one phase for one fleet size.
type Row struct {
	Daemons int   `json:"daemons"`
	Zones   int   `json:"zones"`
	Phase   Phase `json:"phase"`
	// DurationS is the time over which rates were measured, in seconds.
	DurationS float64 `json:"duration_s"`
	// StoreCalls is the rate of calls to the platform by all daemons, in calls/s. PeakStoreCalls is the highest count in one
	// second. A watch counts as one call, when it starts.
	StoreCalls     float64 `json:"store_calls_s"`
	PeakStoreCalls int     `json:"peak_store_calls_s"`
	// SentBytes and ReceivedBytes are average rates per daemon, in bytes/s, of the traffic with peers and the platform.
	SentBytes     float64 `json:"sent_bytes_s"`
	ReceivedBytes float64 `json:"received_bytes_s"`
	// CPUPercent is the average CPU usage per daemon, as a percentage of one core.
	CPUPercent float64 `json:"cpu_percent"`
	// MemoryMB is the average size of the live heap and the stacks per daemon, in MiB.
	MemoryMB float64 `json:"memory_mb"`
	// P50Ms, P99Ms and MaxMs summarize the times until a revision was in force at a daemon, or until a daemon knew that a
	// server is leaving after the platform listed it, over all daemons and changes. They are 0 if the phase has no changes.
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
	// Missing counts the pairs of a change and a daemon at which it was not in force within the target of 16 s.
	Missing int `json:"missing"`
	// Relays is the number of daemons that considered themselves a relay at the end of the phase.
	Relays int `json:"relays"`
}

// maxRecordedTime is the highest propagation time that the histogram can record.
const maxRecordedTime = time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)
}

func (r *Row) fillPropagation(h *hdrhistogram.Histogram) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.P50Ms, r.P99Ms, r.MaxMs = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
}

// PrintTable writes the rows as a Markdown table.
func PrintTable(w io.Writer, rows []Row) error {
	_, err := fmt.Fprintln(w, "| daemons | zones | phase | store calls/s | peak calls/s | sent B/s | received B/s | CPU % of a core |"+
		" memory MB | p50 ms | p99 ms | max ms | missing | relays |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "| %d | %d | %s | %.1f | %d | %.0f | %.0f | %.3f | %.2f | %.0f | %.0f | %.0f | %d | %d |\n",
			r.Daemons, r.Zones, r.Phase, r.StoreCalls, r.PeakStoreCalls, r.SentBytes, r.ReceivedBytes, r.CPUPercent,
			r.MemoryMB, r.P50Ms, r.P99Ms, r.MaxMs, r.Missing, r.Relays)
	}
	return err
}

// PrintJSON writes the rows as JSON, one per line.
func PrintJSON(w io.Writer, rows []Row) error {
	enc := json.NewEncoder(w)
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}
