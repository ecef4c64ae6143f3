package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
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
	// DrainGraceMs is how long a draining daemon goes on admitting requests while it reports that it is not ready, so that
	// the balancer notices, in milliseconds. It is part of DrainTimeoutMs.
	DrainGraceMs int `yaml:"drain_grace_ms"`
	// OperatorToken is the credential that may change the configuration and drain, and read.
	OperatorToken string `yaml:"operator_token"`
	// OperatorReadToken is the credential that may only read.
	OperatorReadToken string `yaml:"operator_read_token"`
	// PeerToken is the credential of the peers' port.
	PeerToken string `yaml:"peer_token"`
}

// Defaults are the settings that a file need not give.
func Defaults() Settings {
	return Settings{
		WorkersPerRank: 128,
		Policy:         model.PolicyDefault,
		LogLevel:       "info",
		DrainTimeoutMs: 25_000,
		DrainGraceMs:   3_000,
	}
}

// Load reads settings from a file, strictly. Errors of the content are validation.Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Decode(path, data)
}

// Decode decodes and checks settings. file names the source in problems.
func Decode(file string, data []byte) (Settings, error) {
	s := Defaults()
	positions, problems := validation.Decode(file, data, &s)
	return s, validation.Combine(problems, positions.Locate(s.Validate())).Err()
}
