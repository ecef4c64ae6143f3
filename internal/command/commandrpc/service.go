package commandrpc

import (
	"oleandersill.example/oleandersill/internal/command/fleet"
	"oleandersill.example/oleandersill/internal/peer"
)

// Service handles the commands of peers. Its exported methods are the methods of the RPC service PeerCommands.
type Service struct {
	agent *fleet.Agent
}

// New returns the service.
func New(agent *fleet.Agent) *Service { return &Service{agent: agent} }

// Notice reports a revision that a peer has in force.
func (s *Service) Notice(n peer.Notice, _ *peer.Empty) error {
	s.agent.ObserveNotice(n)
	return nil
}

// Leaving reports backend servers that are leaving.
func (s *Service) Leaving(l peer.Leaving, _ *peer.Empty) error {
	s.agent.ObserveLeaving(l)
	return nil
}
