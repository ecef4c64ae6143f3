package peer

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// QuotaTake asks the owner of a workspace in its zone for tokens, and returns those of requests that were not run.
type QuotaTake struct {
	Workspace model.WorkspaceName
	// Version is that of the configuration in force at the sender. The receiver applies the quota of its own configuration.
	Version model.RoutingVersion
	Tokens  int
	// Returned is the number of returned tokens, and ReturnedAge the time since the first of them was granted, or longer.
	Returned    int
	ReturnedAge time.Duration
}

// QuotaTaken is the owner's answer.
type QuotaTaken struct {
	// Refused means that the daemon does not own the workspace or has no quota for it.
	Refused bool
	Granted int
	// Next is the time until the owner has a token, if it granted fewer than it was asked for.
	Next time.Duration
}

// TakeQuota asks the owner of a workspace in a zone for tokens.
func (c *Client) TakeQuota(ctx context.Context, address string, t QuotaTake) (QuotaTaken, error) {
	var reply QuotaTaken
	err := c.call(ctx, address, MethodTakeQuota, t, &reply)
	return reply, err
}
