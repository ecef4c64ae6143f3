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
	// Addresses are host:port, with an IP address as the host. PlatformAddress is the address of the platform; the daemon
	// listens on the others. If PeerAddress is empty, it does not listen for peers, which then cannot reach it.
	CallerAddress   string `yaml:"caller_address"`
	OperatorAddress string `yaml:"operator_address"`
	PeerAddress     string `yaml:"peer_address"`
	PlatformAddress string `yaml:"platform_address"`
	// Peers are the addresses of peers to contact first while the platform is unreachable.
	Peers []string `yaml:"peers"`
	// WorkersPerRank is the number of workers in the pool of each rank.
	WorkersPerRank int `yaml:"workers_per_rank"`
	// Policy is "default", or "baseline" for comparison.
	Policy   model.Policy `yaml:"policy"`
	LogLevel string       `yaml:"log_level"`
	// DrainTimeoutMs bounds a graceful shutdown, in milliseconds.
	DrainTimeoutMs int `yaml:"drain_timeout_ms"`
	// DrainGraceMs is the time, in milliseconds, for which a draining daemon still admits requests while it reports that it
	// is not ready, so that the load balancer can stop sending requests. It is part of DrainTimeoutMs.
	DrainGraceMs int `yaml:"drain_grace_ms"`
	// OperatorToken allows operators to change the configuration, to drain the daemon and to read.
	OperatorToken string `yaml:"operator_token"`
	// OperatorReadToken allows operators only to read.
	OperatorReadToken string `yaml:"operator_read_token"`
	// PeerToken is the token that peers need on the peers' port.
	PeerToken string `yaml:"peer_token"`
}

// Defaults returns the values of settings that a file does not give.
func Defaults() Settings {
	return Settings{
		WorkersPerRank: 128,
		Policy:         model.PolicyDefault,
		LogLevel:       "info",
		DrainTimeoutMs: 25_000,
		DrainGraceMs:   3_000,
	}
}

// Load reads settings from a file and checks them like Decode.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Decode(path, data)
}

// Decode decodes and checks settings. Unknown fields are errors. The error is of type validation.Problems, which name file
// as their source.
func Decode(file string, data []byte) (Settings, error) {
	s := Defaults()
	positions, problems := validation.Decode(file, data, &s)
	return s, validation.Combine(problems, positions.Locate(s.Validate())).Err()
}
