package observe

import (
	"strings"

	"github.com/google/pprof/profile"

	"oleandersill.example/oleandersill/internal/measure/labels"
)

// CPU is the CPU time of the daemons per sub-request, in microseconds, split by what it was spent on.
type CPU struct {
	Total    float64 `json:"total_us"`
	Decision float64 `json:"decision_us"`
	Codec    float64 `json:"codec_us"`
	Network  float64 `json:"network_us"`
	Other    float64 `json:"other_us"`
	// Runtime is the daemons' share of the CPU time without a profiler label, such as garbage collection and scheduling. It is
	// computed from the daemons' fraction of the labelled time and included in Total.
	Runtime float64 `json:"runtime_us"`
	// Process is the CPU time of the whole process per sub-request: daemons, stand-ins and callers.
	Process     float64 `json:"process_us"`
	SubRequests int     `json:"sub_requests"`
}

// category is what CPU time is spent on.
type category int

const (
	categoryOther category = iota
	categoryDecision
	categoryCodec
	categoryNetwork
	// categoryEmulation is the emulated network of the driver. It is not charged to the daemons, since a deployed daemon does
	// not have that cost.
	categoryEmulation
	categoryCount
)

// categoryPrefixes maps prefixes of function names to categories. The first prefix that matches applies. A sample has the
// category of the innermost function that has one.
var categoryPrefixes = []struct {
	prefix   string
	category category
}{
	{"encoding/json.", categoryCodec},
	{"encoding/gob.", categoryCodec},
	{"net/rpc.", categoryNetwork},
	{"oleandersill.example/oleandersill/internal/peer.", categoryNetwork},
	{"oleandersill.example/oleandersill/internal/measure/cluster.", categoryEmulation},
	{"oleandersill.example/oleandersill/internal/backend/", categoryCodec},
	{"oleandersill.example/oleandersill/internal/query/queryhttp.", categoryCodec},
	{"oleandersill.example/oleandersill/internal/httpapi.", categoryCodec},
	{"oleandersill.example/oleandersill/internal/", categoryDecision},
	{"net/http.", categoryNetwork},
	{"net/textproto.", categoryNetwork},
	{"net.", categoryNetwork},
	{"internal/poll.", categoryNetwork},
	{"syscall.", categoryNetwork},
	{"internal/runtime/syscall.", categoryNetwork},
}

// SplitCPU computes the CPU times per sub-request from a CPU profile and the number of sub-requests started meanwhile.
func SplitCPU(p *profile.Profile, subRequests int) CPU {
	var daemon [categoryCount]float64
	var labelled, unlabelled float64
	value := len(p.SampleType) - 1
	for _, s := range p.Sample {
		us := float64(s.Value[value]) / 1000
		component := s.Label[labels.Component]
		switch {
		case len(component) == 0:
			unlabelled += us
		case component[0] == labels.Daemon:
			labelled += us
			daemon[categoryOf(s)] += us
		default:
			labelled += us
		}
	}
	n := float64(max(1, subRequests))
	out := CPU{
		Decision:    daemon[categoryDecision] / n,
		Codec:       daemon[categoryCodec] / n,
		Network:     daemon[categoryNetwork] / n,
		Other:       daemon[categoryOther] / n,
		Process:     (labelled + unlabelled) / n,
		SubRequests: subRequests,
	}
	own := out.Decision + out.Codec + out.Network + out.Other
	out.Runtime = unlabelled / n * ratio(own, labelled/n)
	out.Total = own + out.Runtime
	return out
}

func categoryOf(s *profile.Sample) category {
	for _, loc := range s.Location {
		for _, line := range loc.Line {
			if line.Function == nil {
				continue
			}
			for _, c := range categoryPrefixes {
				if strings.HasPrefix(line.Function.Name, c.prefix) {
					return c.category
				}
			}
		}
	}
	return categoryOther
}
