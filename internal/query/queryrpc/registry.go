package queryrpc

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/boottime"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// RegistryService answers peers in deployments whose daemons follow the platform's store. Its exported methods, with those
// of ForwardService, are the methods of PeerQueries there.
type RegistryService struct {
	ForwardService
	registry *tables.Registry
	observer LeavingObserver
}

// LeavingObserver is notified of the leaving servers that peers report in their queries.
type LeavingObserver interface {
	ObserveLeaving([]model.LeavingServer)
}

// NewRegistryService returns a service that replies with the content of r.
func NewRegistryService(r *tables.Registry, o LeavingObserver) *RegistryService {
	return &RegistryService{registry: r, observer: o}
}

// maxRegistryWait bounds how long a call waits, since its caller may have disconnected.
const maxRegistryWait = 30 * time.Second

// Registry replies with what this daemon has received from the store and the caller lacks. It waits until there is something
// new for the caller or the store is lost, but no longer than the request's Wait and maxRegistryWait.
func (s *RegistryService) Registry(req peer.RegistryRequest, reply *peer.RegistryReply) error {
	received := boottime.Now()
	s.observer.ObserveLeaving(req.Leaving)
	update := s.registry.AwaitUpdate(context.Background(), req.Position(time.Now(), received), min(req.Wait, maxRegistryWait))
	*reply = peer.NewRegistryReply(&update, time.Now())
	if req.NeedsVerification {
		reply.SetVerification(update.VerifiedAt, received, boottime.Now())
	}
	return nil
}
