package queryhttp

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestQueryHTTP(t *testing.T) { suite.Run(t, "./internal/query/queryhttp") }

// Guards against a caller who takes a partial answer for a complete one.
var _ = It("marks a partial answer in its headers and in its body", func() {
	coverage := model.Coverage{ShardsAsked: 4, ShardsAnswered: 3, Fraction: 0.75, Missing: []model.ShardName{"s1"}}
	w := httptest.NewRecorder()
	writeAnswer(w, scatter.Answer{Outcome: model.OutcomePartial, Coverage: coverage})
	Expect(w.Header().Get("X-Outcome")).To(Equal("partial"))
	Expect(w.Header().Get("X-Coverage")).To(Equal("0.750000"))
	var body SearchResponse
	Expect(json.Unmarshal(w.Body.Bytes(), &body)).To(Succeed())
	Expect(body.Outcome).To(Equal(model.OutcomePartial))
	Expect(body.Coverage).To(Equal(coverage))
})
