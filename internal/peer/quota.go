package peer

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
)

// QuotaTake asks the agent of a workspace to admit requests before the workspace's owner granted them.
type QuotaTake struct {
	Workspace model.WorkspaceName
	// Version is the configuration that is in force at the sender. The receiver uses the quota of its own one.
	Version model.RoutingVersion
	// Region is the sender's region. An agent admits only requests of its own region.
	Region model.Region
	Tokens int
}

// QuotaAdmitted is the agent's answer.
type QuotaAdmitted struct {
	// Refused means that the daemon is not in the region or has no quota for the workspace.
	Refused  bool
	Admitted int
	// Empty is the time until the owner has a token, or 0 if the owner is to be asked for the others.
	Empty time.Duration
}

// QuotaSettle asks the owner of a workspace for tokens, and returns those of requests that were not run.
type QuotaSettle struct {
	Workspace model.WorkspaceName
	// Version is as in QuotaTake.
	Version model.RoutingVersion
	Tokens  int
	// Returned is the number of returned tokens, and ReturnedAge the time since the first of them was granted, or longer.
	Returned    int
	ReturnedAge time.Duration
}

// QuotaSettled is the owner's answer.
type QuotaSettled struct {
	Standing quota.Standing
	Granted  int
	// RetryAfter is the time until the owner has a token, if it granted fewer than it was asked for, or until it grants any.
	RetryAfter time.Duration
}

// QuotaConfirm asks a member to confirm that it reaches the sender and does not reach the members that are lost to it.
type QuotaConfirm struct {
	From model.InstanceID
	Lost []model.Member
}

// TakeQuota asks an agent for tokens.
func (c *Client) TakeQuota(ctx context.Context, address string, t QuotaTake) (QuotaAdmitted, error) {
	var reply QuotaAdmitted
	err := c.call(ctx, address, MethodTakeQuota, t, &reply)
	return reply, err
}

// SettleQuota asks an owner for tokens.
func (c *Client) SettleQuota(ctx context.Context, address string, s QuotaSettle) (QuotaSettled, error) {
	var reply QuotaSettled
	err := c.call(ctx, address, MethodSettleQuota, s, &reply)
	return reply, err
}

// ConfirmQuota asks a member for its confirmation.
func (c *Client) ConfirmQuota(ctx context.Context, address string, q QuotaConfirm) (quota.Confirmation, error) {
	var reply quota.Confirmation
	err := c.call(ctx, address, MethodConfirmQuota, q, &reply)
	return reply, err
}
