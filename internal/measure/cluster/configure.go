package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/model"
)

// Apply applies a configuration through the operator port of the first daemon.
func (c *Cluster) Apply(ctx context.Context, inv model.Inventory, rules model.Rules) error {
	reply, err := c.postConfig(ctx, 0, commandhttp.ApplyRequest{
		Inventory: inv, Rules: rules, Expect: c.revision, Editor: "oleandersill-measure", Reason: "measurement",
	})
	if err != nil {
		return err
	}
	if reply.Verdict != configure.Accepted {
		return errors.Newf("cluster: configuration change %s: %s", reply.Verdict, reply.Detail)
	}
	c.revision = reply.Root.Revision
	c.setInventory(inv)
	return nil
}

// postConfig sends a configuration change to the operator port of a daemon.
func (c *Cluster) postConfig(
	ctx context.Context, daemon int, request commandhttp.ApplyRequest,
) (commandhttp.ApplyResponse, error) {
	var reply commandhttp.ApplyResponse
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Wrap(err, "cluster: encoding configuration")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.OperatorAddress(daemon)+"/v1/config/apply", bytes.NewReader(body))
	if err != nil {
		return reply, errors.Wrap(err, "cluster: building request")
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply, errors.Wrap(err, "cluster: applying configuration")
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply, errors.Wrapf(err, "cluster: applying configuration, status %d", resp.StatusCode)
}

// edit applies a change to the inventory in force. Edits run one at a time.
func (c *Cluster) edit(ctx context.Context, change func(*model.Inventory) error) error {
	c.editSemaphore <- struct{}{}
	defer func() { <-c.editSemaphore }()
	inv := c.Inventory()
	if err := change(&inv); err != nil {
		return err
	}
	return c.Apply(ctx, inv, c.cfg.Rules)
}

// AwaitReady waits until every daemon is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range c.members() {
		if err := awaitReady(ctx, m.daemon.CallerAddress()); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(ctx context.Context, address string) error {
	for !ready(ctx, address) {
		if err := sleep(readyPollInterval, ctx.Done()); err != nil {
			return errors.Wrap(err, "cluster: waiting for a daemon to become ready")
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
