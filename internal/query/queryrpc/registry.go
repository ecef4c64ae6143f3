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
	protocol model.Protocol
}

// LeavingObserver is notified of the leaving servers that peers report in their queries.
type LeavingObserver interface {
	ObserveLeaving([]model.LeavingServer)
}

// NewRegistryService returns a service that replies with the content of r. protocol is the version that this daemon supports.
func NewRegistryService(r *tables.Registry, o LeavingObserver, protocol model.Protocol) *RegistryService {
	return &RegistryService{registry: r, observer: o, protocol: protocol}
}

// maxRegistryWait bounds how long a call waits, since its caller may have disconnected.
const maxRegistryWait = 30 * time.Second

// Registry replies with what this daemon has received from the store and the caller lacks. It waits until there is something
// new for the caller or the store is lost, but no longer than the request's Wait and maxRegistryWait.
func (s *RegistryService) Registry(req peer.RegistryRequest, reply *peer.RegistryReply) error {
	received := boottime.Now()
	s.observer.ObserveLeaving(req.Leaving)
	caller := req.Position(time.Now(), received)
	if !req.KnowsEras {
		caller.Era = s.registry.Position().Era
	}
	update := s.registry.AwaitUpdate(context.Background(), caller, min(req.Wait, maxRegistryWait))
	*reply = peer.NewRegistryReply(&update, time.Now())
	reply.Protocol = s.protocol
	if req.NeedsVerification {
		reply.SetVerification(&update.Update, received, boottime.Now())
	}
	return nil
}
