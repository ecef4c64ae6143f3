package queryrpc

import (
	"time"

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

// Registry tells what this daemon last heard from the store.
func (s *RegistryService) Registry(_ peer.RegistryRequest, reply *peer.RegistryReply) error {
	v := s.registry.View()
	reply.Revision = v.Revision
	reply.Servers = v.Servers
	reply.Members = v.Members
	if v.Routing != nil {
		reply.Version = v.Routing.Version
		reply.Routes = v.Routing.Routes
		reply.Services = v.Routing.Services
		reply.Limits = v.Routing.Limits
		reply.Age = time.Since(v.Heard)
	}
	return nil
}
