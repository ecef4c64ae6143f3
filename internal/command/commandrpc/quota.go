package commandrpc

import (
	"oleandersill.example/oleandersill/internal/command/quota"
	decision "oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/peer"
)

// QuotaService handles the commands by which daemons that follow the platform's store account for the quotas of workspaces. Its
// exported methods are the methods of the RPC service PeerCommands there. None of them waits for another daemon, since a
// connection serves one call at a time.
type QuotaService struct {
	keeper *quota.Keeper
}

// NewQuotaService returns the service.
func NewQuotaService(k *quota.Keeper) *QuotaService { return &QuotaService{keeper: k} }

// TakeQuota admits requests as the agent of a workspace.
func (s *QuotaService) TakeQuota(t peer.QuotaTake, reply *peer.QuotaAdmitted) error {
	*reply = s.keeper.HandleTake(&t)
	return nil
}

// SettleQuota grants tokens as the owner of a workspace.
func (s *QuotaService) SettleQuota(q peer.QuotaSettle, reply *peer.QuotaSettled) error {
	*reply = s.keeper.HandleSettle(&q)
	return nil
}

// ConfirmQuota confirms that this daemon reaches another one and does not reach the members that are lost to that one.
func (s *QuotaService) ConfirmQuota(q peer.QuotaConfirm, reply *decision.Confirmation) error {
	*reply = s.keeper.HandleConfirm(&q)
	return nil
}
