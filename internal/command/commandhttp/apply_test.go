package commandhttp_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

const validChange = `{"expect": 0, "editor": "anna", "reason": "first",
	"inventory": {"max_instances": 8, "zones": [{"name": "z1", "region": "r1"}], "services": [{"name": "search",
		"shard_map_epoch": 1, "shards": [{"name": "s0", "key_from": 0, "key_to": 65536, "servers": [{"name": "a",
			"address": "127.0.0.1:1", "zone": "z1", "slots": 2, "connections": 25}]}]}]},
	"rules": {"ranks": [{"rank": "urgent", "target_ms": 1}, {"rank": "standard", "target_ms": 1},
			{"rank": "deferred", "target_ms": 1}], "hedge": {"window_ms": 1000, "quantile": 0.9},
		"retry": {"window_ms": 1000, "max_attempts": 1}, "deadlines": {"default_ms": 1, "max_ms": 1}}}`

// Guards against a refused change whose response a script treats as a success, and against problems that are reported
// without their field.
var _ = DescribeTable("a change over HTTP",
	func(old, replacement string, faults memplatform.Faults, status int, verdict configure.Verdict, detail string) {
		store := memplatform.New(time.Now)
		store.SetFaults(faults)
		backoff := configstore.Backoff{MaxAttempts: 2, InitialDelay: time.Millisecond, MaxDelay: time.Millisecond}
		h := &commandhttp.Apply{
			Configurer: &configure.Configurer{Store: store, Now: time.Now, Backoff: backoff}, Log: zerolog.Nop(),
		}
		Expect(validChange).To(ContainSubstring(old))
		body := strings.Replace(validChange, old, replacement, 1)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/config/apply", strings.NewReader(body)))
		Expect(w.Code).To(Equal(status), w.Body.String())
		var response commandhttp.ApplyResponse
		Expect(json.Unmarshal(w.Body.Bytes(), &response)).To(Succeed())
		Expect(response.Verdict).To(Equal(verdict))
		Expect(w.Body.String()).To(ContainSubstring(detail))
	},
	Entry("accepted", "first", "first", memplatform.Faults{}, 200, configure.Accepted, `"revision":1`),
	Entry("accepted with lost replies", "first", "first", memplatform.Faults{LostReplies: true}, 200, configure.Accepted, `"revision":1`),
	Entry("invalid", `"slots": 2`, `"slots": 0`, memplatform.Faults{}, 422, configure.NotAccepted, `"field":"services[0].shards[0].servers[0].slots"`),
	Entry("ahead", `"expect": 0`, `"expect": 4`, memplatform.Faults{}, 409, configure.NotAccepted, "expected_revision_ahead"),
	Entry("store down", "first", "first", memplatform.Faults{Down: true}, 503, configure.NotAccepted, "store_unavailable"),
	Entry("unknown field", `"expect"`, `"expected"`, memplatform.Faults{}, 400, configure.Verdict(""), "malformed_body"),
)
