package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Limits of the settings.
const (
	MaxWorkersPerRank = 100_000
	MaxDrainTimeoutMs = 600_000
	// MinTokenBytes is the minimum length of a token that is not empty; shorter tokens can be guessed.
	MinTokenBytes = 16
)

const (
	addressAllowed = "IP address and port, as 10.0.0.1:7000"
	levelsAllowed  = "trace, debug, info, warn, error"
)

// Validate returns all problems of the settings. Problems never contain a token.
func (s Settings) Validate() validation.Problems {
	var ps validation.Problems
	checkName(&ps, "instance", string(s.Instance))
	checkName(&ps, "zone", string(s.Zone))
	checkName(&ps, "region", string(s.Region))
	s.checkAddresses(&ps)
	validation.CheckRange(&ps, "workers_per_rank", s.WorkersPerRank, 1, MaxWorkersPerRank)
	validation.CheckRange(&ps, "drain_timeout_ms", s.DrainTimeoutMs, 1, MaxDrainTimeoutMs)
	validation.CheckRange(&ps, "drain_grace_ms", s.DrainGraceMs, 0, s.DrainTimeoutMs)
	if level, err := zerolog.ParseLevel(s.LogLevel); err != nil || level < zerolog.TraceLevel || level > zerolog.ErrorLevel {
		ps.Add(validation.KindRange, "log_level", levelsAllowed, "is %q", s.LogLevel)
	}
	if s.Policy != model.PolicyDefault && s.Policy != model.PolicyBaseline {
		ps.Add(validation.KindRange, "policy", "default, baseline", "is %q", string(s.Policy))
	}
	s.checkTokens(&ps)
	return ps
}

func checkName(ps *validation.Problems, field, value string) {
	if !validation.IsName(value) {
		ps.Add(validation.KindMalformed, field, validation.NameAllowed, "is %q", value)
	}
}

func (s Settings) checkAddresses(ps *validation.Problems) {
	listen := []struct{ field, value string }{
		{"caller_address", s.CallerAddress}, {"operator_address", s.OperatorAddress}, {"peer_address", s.PeerAddress},
	}
	seen := map[string]string{}
	for _, l := range listen {
		if l.field == "peer_address" && l.value == "" {
			continue
		}
		checkAddress(ps, l.field, l.value, 0)
		if other, ok := seen[l.value]; ok && !isPortZero(l.value) {
			ps.Add(validation.KindDuplicate, l.field, "", "is the same as %s", other)
		}
		seen[l.value] = l.field
	}
	checkAddress(ps, "platform_address", s.PlatformAddress, 1)
	for i, peer := range s.Peers {
		checkAddress(ps, fmt.Sprintf("peers[%d]", i), peer, 1)
	}
}

// isPortZero reports whether the port is 0, so that the operating system chooses it.
func isPortZero(value string) bool {
	_, port, err := net.SplitHostPort(value)
	return err == nil && port == "0"
}

func checkAddress(ps *validation.Problems, field, value string, minPort int) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || int(address.Port()) < minPort {
		ps.Add(validation.KindMalformed, field, addressAllowed+", port "+strconv.Itoa(minPort)+" to 65535", "is %q", value)
	}
}

func (s Settings) checkTokens(ps *validation.Problems) {
	tokens := []struct{ field, value string }{
		{"operator_token", s.OperatorToken}, {"operator_read_token", s.OperatorReadToken}, {"peer_token", s.PeerToken},
	}
	seen := map[string]string{}
	for _, t := range tokens {
		if t.value == "" {
			continue
		}
		if len(t.value) < MinTokenBytes {
			ps.Add(validation.KindRange, t.field, fmt.Sprintf("at least %d bytes", MinTokenBytes), "has %d bytes", len(t.value))
		}
		if other, ok := seen[t.value]; ok {
			ps.Add(validation.KindDuplicate, t.field, "", "is the same as %s", other)
		}
		seen[t.value] = t.field
	}
	if s.OperatorToken == "" && s.OperatorReadToken != "" {
		ps.Add(validation.KindMissing, "operator_token", "a token, if operator_read_token is given", "is empty")
	}
	requireToken(ps, "operator_token", s.OperatorToken, "operator_address", s.OperatorAddress)
	requireToken(ps, "peer_token", s.PeerToken, "peer_address", s.PeerAddress)
}

// requireToken adds a problem if other hosts can reach a port without a token.
func requireToken(ps *validation.Problems, field, token, addressField, value string) {
	address, err := netip.ParseAddrPort(value)
	if token == "" && err == nil && !address.Addr().IsLoopback() {
		ps.Add(validation.KindMissing, field, "may be empty only on a loopback "+addressField, "is empty")
	}
}
