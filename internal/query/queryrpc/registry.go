package queryrpc

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// RegistryService answers peers where daemons follow the platform's store. Its exported methods, with those of
// ForwardService, are the methods of PeerQueries there.
type RegistryService struct {
	ForwardService
	registry *tables.Registry
}

// NewRegistryService returns the service.
func NewRegistryService(r *tables.Registry) *RegistryService { return &RegistryService{registry: r} }

// maxNewsWait bounds a call whose caller may be gone.
const maxNewsWait = 30 * time.Second

// Registry tells what this daemon heard from the store. It waits until that helps the caller, as long as the caller allows.
func (s *RegistryService) Registry(req peer.RegistryRequest, reply *peer.RegistryReply) error {
	caller := spread.Position{Revision: req.After, Heard: time.Now().Add(-req.Age)}
	news := s.registry.AwaitNews(context.Background(), caller, min(req.Wait, maxNewsWait))
	*reply = peer.NewRegistryReply(&news, time.Now())
	return nil
}
