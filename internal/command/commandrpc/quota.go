package commandrpc

import (
	"oleandersill.example/oleandersill/internal/command/quota"
	"oleandersill.example/oleandersill/internal/peer"
)

// QuotaService handles the commands by which daemons that follow the platform's store account for the quotas of workspaces. Its
// exported methods are the methods of the RPC service PeerCommands at these daemons. None of them waits for another daemon, since a
// connection serves one call at a time.
type QuotaService struct {
	keeper *quota.Keeper
}

// NewQuotaService returns the service.
func NewQuotaService(k *quota.Keeper) *QuotaService { return &QuotaService{keeper: k} }

// TakeQuota grants tokens as the owner of a workspace in this daemon's zone.
func (s *QuotaService) TakeQuota(t peer.QuotaTake, reply *peer.QuotaTaken) error {
	*reply = s.keeper.HandleTake(&t)
	return nil
}
