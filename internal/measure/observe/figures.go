package observe

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleandersill.example/oleandersill/internal/model"
)

// Limits of the latency histograms, in microseconds.
const (
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
)

// Figures are the figures of one round for a subset of its requests.
type Figures struct {
	Offered  int
	Outcomes map[model.Outcome]int
	// P50, P99 and P999 are quantiles of latency in milliseconds, over all queries that were run, whatever their outcome.
	P50, P99, P999 float64
	// Coverage is the mean over the queries that were run. CoverageOffered is the mean over all queries, with 0 for those not
	// run.
	Coverage        float64
	CoverageOffered float64
	// ExtraLoad is the number of attempts that servers started divided by the number of sub-requests needed.
	ExtraLoad float64
	// Goodput is the rate of complete answers received within the measured time, per second.
	Goodput float64
	// LastIncomplete is the intended send time of the last query that was not answered completely; 0 if all were.
	LastIncomplete time.Duration
	// Violations are those found in the answers.
	Violations Violations
}

// Compute returns the figures of the samples that keep selects. duration is the measured time. Samples sent before its start
// count for the goodput only.
func Compute(samples []Sample, executions Executions, duration time.Duration, keep func(*Sample) bool) Figures {
	f := Figures{Outcomes: map[model.Outcome]int{}}
	h := hdrhistogram.New(minLatency, maxLatency, significantDigits)
	runCount, coverage, needed, started, completeInTime := 0, 0.0, 0, 0, 0
	for i := range samples {
		s := &samples[i]
		if !keep(s) {
			continue
		}
		if end := s.At + s.Latency; s.Outcome == model.OutcomeComplete && end >= 0 && end < duration {
			completeInTime++
		}
		if s.At < 0 {
			continue
		}
		f.Offered++
		f.Outcomes[s.Outcome]++
		if s.Outcome != model.OutcomeComplete {
			f.LastIncomplete = max(f.LastIncomplete, s.At)
		}
		f.Violations.Add(s.Violations)
		if s.Outcome == model.OutcomeNotRun {
			if executions[s.Request] > 0 {
				f.Violations.FalseNotRun++
			}
			continue
		}
		runCount++
		coverage += s.Coverage
		needed += s.Shards
		started += executions[s.Request]
		// Latencies above the histogram's range are recorded as its maximum.
		_ = h.RecordValue(min(s.Latency.Microseconds(), maxLatency))
	}
	f.P50, f.P99, f.P999 = quantile(h, 50), quantile(h, 99), quantile(h, 99.9)
	f.Coverage = ratio(coverage, float64(runCount))
	f.CoverageOffered = ratio(coverage, float64(f.Offered))
	f.ExtraLoad = ratio(float64(started), float64(needed))
	f.Goodput = float64(completeInTime) / duration.Seconds()
	return f
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
