package settings

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/model"
)

// Settings are the daemon's own settings.
type Settings struct {
	Instance model.InstanceID       `yaml:"instance"`
	Zone     model.AvailabilityZone `yaml:"zone"`
	Region   model.Region           `yaml:"region"`
	// Listen addresses are host:port.
	CallerAddress   string `yaml:"caller_address"`
	OperatorAddress string `yaml:"operator_address"`
	PeerAddress     string `yaml:"peer_address"`
	PlatformAddress string `yaml:"platform_address"`
	// Peers are peers' addresses to start from while the platform is unreachable.
	Peers []string `yaml:"peers"`
	// WorkersPerRank is the size of each rank's pool.
	WorkersPerRank int `yaml:"workers_per_rank"`
	// Policy is "default", or "baseline" for comparison.
	Policy   model.Policy `yaml:"policy"`
	LogLevel string       `yaml:"log_level"`
	// DrainTimeoutMs bounds a graceful shutdown, in milliseconds.
	DrainTimeoutMs int `yaml:"drain_timeout_ms"`
	// OperatorToken and PeerToken are the credentials of the operators' and the peers' ports.
	OperatorToken string `yaml:"operator_token"`
	PeerToken     string `yaml:"peer_token"`
}

// Defaults are the settings that a file need not give.
func Defaults() Settings {
	return Settings{WorkersPerRank: 128, Policy: model.PolicyDefault, LogLevel: "info", DrainTimeoutMs: 25_000}
}

// Load reads settings from a file, strictly.
func Load(path string) (Settings, error) {
	s := Defaults()
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return s, errors.Wrapf(err, "settings: %s", path)
	}
	return s, nil
}
