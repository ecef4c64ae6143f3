package quota

import (
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/tables"
)

// HandleTake grants tokens to another daemon as the owner of the workspace in this daemon's zone.
func (k *Keeper) HandleTake(t *peer.QuotaTake) peer.QuotaTaken {
	limit, _ := k.limitOf(t.Workspace)
	if !limit.Limited() {
		return peer.QuotaTaken{Refused: true}
	}
	req := tables.QuotaRequest{
		Workspace: t.Workspace, Tokens: max(0, t.Tokens), Returned: max(0, t.Returned), ReturnedAge: max(0, t.ReturnedAge),
		Part: k.partOf(limit),
	}
	granted, next, owned := k.table.Grant(&req, k.cfg.Now())
	return peer.QuotaTaken{Refused: !owned, Granted: granted, Next: next}
}
