package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/testing/suite"
	"oleandersill.example/oleandersill/internal/validation"
)

func TestSettings(t *testing.T) { suite.Run(t, "./internal/settings") }

const validSettings = `instance: i1
zone: z1
region: north
caller_address: 127.0.0.1:7201
operator_address: 127.0.0.1:7202
peer_address: 127.0.0.1:7203
platform_address: 127.0.0.1:7000
operator_token: secret-of-operators
operator_read_token: secret-of-dashboards
peer_token: secret-of-peers-x
peers: [127.0.0.1:7303]
`

// Guards against invalid settings that are accepted or reported at the wrong place, and against messages that contain a token.
var _ = DescribeTable("rejects invalid settings",
	func(old, replacement, want string) {
		Expect(validSettings).To(ContainSubstring(old))
		_, err := settings.Decode("s.yaml", []byte(strings.Replace(validSettings, old, replacement, 1)))
		Expect(err).To(HaveOccurred())
		Expect(strings.Split(err.Error(), "\n")).To(ContainElement(HavePrefix(want)))
		Expect(err.Error()).NotTo(ContainSubstring("secret-of-"), "a token must not be shown")
	},
	Entry("unknown field", "zone:", "zones:", "s.yaml:2: zones: unknown field"),
	Entry("no instance", "instance: i1", "instance: ''", `s.yaml:1: instance: is ""`),
	Entry("host name", "platform_address: 127.0.0.1", "platform_address: platform", `s.yaml:7: platform_address: is "platform:7000"`),
	Entry("peer without a port", "7303", "0", `s.yaml:11: peers[0]: is "127.0.0.1:0"`),
	Entry("same address", "7203", "7202", "s.yaml:6: peer_address: is the same as operator_address"),
	Entry("short token", "secret-of-operators", "short", "s.yaml:8: operator_token: has 5 bytes (allowed: at least 16 bytes)"),
	Entry("same token", "secret-of-dashboards", "secret-of-operators", "s.yaml:9: operator_read_token: is the same as operator_token"),
	Entry("no token on a port that other hosts can reach", "operator_address: 127.0.0.1:7202\npeer_address: 127.0.0.1:7203\nplatform_address: 127.0.0.1:7000\noperator_token: secret-of-operators",
		"operator_address: 10.0.0.1:7202\nplatform_address: 127.0.0.1:7000", "s.yaml:1: operator_token: is empty (allowed: may be empty only on a loopback operator_address)"),
	Entry("only a read-only token", "operator_token: secret-of-operators\n", "", "s.yaml:1: operator_token: is empty (allowed: a token, if operator_read_token is given)"),
	Entry("policy", "zone: z1", "zone: z1\npolicy: fast", `s.yaml:3: policy: is "fast" (allowed: default, baseline)`),
	Entry("log level", "zone: z1", "zone: z1\nlog_level: loud", `s.yaml:3: log_level: is "loud" (allowed: trace, debug, info, warn, error)`),
)

// Guards against an operator who has to correct one problem before the next one is reported.
var _ = It("reports every problem at once", func() {
	_, err := settings.Decode("s.yaml", []byte("zone: 'z 1'\nworker: 3\nworkers_per_rank: many\n"))
	Expect(validation.FromError(err)).To(ContainElements(
		HaveField("Field", "zone"), HaveField("Field", "worker"), HaveField("Field", "workers_per_rank"),
		HaveField("Field", "instance"), HaveField("Field", "platform_address"),
	))
})

// Guards against valid settings that are rejected, and against omitted settings that are zero instead of their default.
var _ = It("accepts valid settings and fills in defaults", func() {
	s, err := settings.Decode("s.yaml", []byte(validSettings))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.WorkersPerRank).To(Equal(settings.Defaults().WorkersPerRank))
})
