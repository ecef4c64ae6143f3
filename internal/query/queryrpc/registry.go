package queryrpc

import (
	"context"
	"math"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
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
	caller := gossip.Position{Era: req.Era, Revision: req.After, ConfirmedAt: time.Now().Add(-req.Age), Leaving: req.LeavingAfter}
	if !req.KnowsEras {
		caller.Era = s.registry.Position().Era
	}
	if !req.ExchangesLeaving {
		caller.Leaving = math.MaxUint64
	}
	s.observer.ObserveLeaving(req.Leaving)
	update := s.registry.AwaitUpdate(context.Background(), caller, min(req.Wait, maxRegistryWait))
	*reply = peer.NewRegistryReply(&update, time.Now())
	reply.Protocol = s.protocol
	return nil
}
