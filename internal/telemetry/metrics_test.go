package telemetry_test

import (
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/telemetry"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestTelemetry(t *testing.T) { suite.Run(t, "./internal/telemetry") }

const root = "../.."

// rows returns the cells of the page's table rows whose first cell is a name in code style.
func rows() [][]string {
	page, err := os.ReadFile(filepath.Join(root, "docs/operations/metrics.md"))
	Expect(err).NotTo(HaveOccurred())
	var out [][]string
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.ReplaceAll(strings.TrimSpace(cells[i]), "`", "")
		}
		out = append(out, cells)
	}
	return out
}

// eventsInCode returns the names of all log events in the code.
func eventsInCode() []string {
	message := regexp.MustCompile(`\.Msg\("([^"]*)"\)`)
	var names []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, m := range message.FindAllSubmatch(code, -1) {
			names = append(names, string(m[1]))
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against a metric or a log event that is added, renamed or removed in code and not on the page.
var _ = Describe("docs/operations/metrics.md", func() {
	It("lists every metric with its kind and labels, and no other", func() {
		var want, got []string
		for _, d := range telemetry.Definitions() {
			want = append(want, strings.Join([]string{d.Name, string(d.Kind), strings.Join(d.Labels, " ")}, ";"))
		}
		for _, r := range rows() {
			if strings.HasPrefix(r[0], "oleandersill_") {
				Expect(r).To(HaveLen(7))
				got = append(got, strings.Join(r[:3], ";"))
			}
		}
		Expect(got).To(ConsistOf(want))
	})

	It("lists every log event of the code, and no other", func() {
		var got []string
		for _, r := range rows() {
			if !strings.HasPrefix(r[0], "oleandersill_") {
				got = append(got, r[0])
			}
		}
		Expect(got).To(ConsistOf(eventsInCode()))
	})
})

// Guards against a metric that is defined but not served, or served without its labels, and against series of a server that
// remain after its state is ordinary again.
var _ = Describe("the metrics handler", func() {
	It("serves every defined metric with its labels, and ends a server's series once it is no longer sampled", func() {
		spec := &model.Server{
			ServerSpec: &model.ServerSpec{Name: "s1", Zone: "luzon"}, Service: "phrases", Shard: "p0",
		}
		sample := telemetry.Sample{
			Queues:   []telemetry.QueueSample{{Service: "phrases"}},
			Services: []telemetry.ServiceSample{{Service: "phrases", States: map[string]int{"ejected": 1}}},
			Servers:  []telemetry.ServerSample{{Spec: spec, Limit: 1, State: "ejected"}},
		}
		m := telemetry.NewMetrics(func() telemetry.Sample { return sample })
		(*telemetry.Metrics)(nil).Hedge("phrases")
		m.Request("phrases", model.RankUrgent, model.OutcomeComplete, time.Millisecond)
		m.Coverage("phrases", 1)
		m.RouteRequest("r1", model.OutcomePartial, 2, time.Millisecond)
		m.QuotaTokens(telemetry.QuotaGranted, 1)
		m.Attempt("phrases", "ok")
		m.DroppedReply("phrases")
		m.Hedge("phrases")
		m.Retry("phrases")
		m.Cancellation("phrases")
		m.Refusal("phrases", model.RankUrgent, "queue_full")
		m.Ejection("phrases", "luzon")
		m.ConnectionClosed("callers", "memory")
		m.CallerRefused("body_too_late")
		Expect(m.Close()).To(Succeed())
		page := scrape(m)
		for _, d := range telemetry.Definitions() {
			Expect(page).To(ContainSubstring("# TYPE " + d.Name + " " + string(d.Kind) + "\n"))
			series := regexp.MustCompile(`(?m)^` + d.Name + `(_bucket)?(\{.*\})? `).FindString(page)
			for _, label := range d.Labels {
				Expect(series).To(ContainSubstring(label+`="`), d.Name)
			}
		}
		Expect(strings.Count(page, "# TYPE ")).To(Equal(len(telemetry.Definitions())))
		sample.Servers = nil
		Expect(scrape(m)).NotTo(ContainSubstring(`server="s1"`))
	})
})

func scrape(m *telemetry.Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
