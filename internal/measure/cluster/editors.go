package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// maxApplyAttempts limits how often an editor applies a change whose outcome remains unknown.
const maxApplyAttempts = 3

// RacingEditors lets two editors concurrently change the same part of the same revision through different daemons, while
// the replies to all writes to the store are lost. At the end it reads the audit trail.
type RacingEditors struct {
	Rounds int
}

// Edit is a configuration change with the verdict that its editor received.
type Edit struct {
	// Reason identifies the edit in the audit trail.
	Reason  string
	Verdict configure.Verdict
	// Revision is the revision that an accepted edit created.
	Revision model.Revision
}

// Edits is the result of RacingEditors: the edits of all rounds, and the audit trail read afterwards, newest change first.
type Edits struct {
	Edits []Edit
	Trail []configdoc.Change
	// Took is the time from the start of the first round to the end of the last.
	Took time.Duration
}

// String returns a summary with the number of edits by verdict.
func (e Edits) String() string {
	verdicts := map[configure.Verdict]int{}
	for _, edit := range e.Edits {
		verdicts[edit.Verdict]++
	}
	return fmt.Sprintf("edits %v in %s, %d entries in the audit trail", verdicts, e.Took, len(e.Trail))
}

// Inject implements Fault.
func (f RacingEditors) Inject(ctx context.Context, c *Cluster, _ model.ServiceName, _ *rand.Rand) error {
	c.editSemaphore <- struct{}{}
	defer func() { <-c.editSemaphore }()
	c.Platform.SetFaults(platformserver.Faults{LostReplies: 1})
	defer c.Platform.SetFaults(platformserver.Faults{})
	var out Edits
	begin := time.Now()
	for round := range f.Rounds {
		edits, err := c.raceEdits(ctx, round)
		if err != nil {
			return err
		}
		out.Edits = append(out.Edits, edits...)
		for _, e := range edits {
			c.revision = max(c.revision, e.Revision)
		}
	}
	out.Took = time.Since(begin)
	if err := c.awaitPropagation(ctx, c.revision, time.Now()); err != nil {
		return err
	}
	var err error
	if out.Trail, err = c.auditTrail(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.edits = out
	return nil
}

// raceEdits lets both editors concurrently apply a change of the rules. The change differs from that of the other editor and
// from those of the previous round.
func (c *Cluster) raceEdits(ctx context.Context, round int) ([]Edit, error) {
	edits := make([]Edit, 2)
	failures := make([]error, len(edits))
	var editors sync.WaitGroup
	for i := range edits {
		rules := c.cfg.Rules
		rules.Hedge.MinDelayMs += 1 + len(edits)*(round%2) + i
		request := commandhttp.ApplyRequest{
			Inventory: c.Inventory(), Rules: rules, Expect: c.revision, Editor: fmt.Sprintf("editor-%d", i),
			Reason: fmt.Sprintf("round %d, editor %d", round, i),
		}
		editors.Go(func() { edits[i], failures[i] = c.applyUntilKnown(ctx, (round+i)%c.cfg.Daemons, request) })
	}
	editors.Wait()
	return edits, errors.Join(failures...)
}

// applyUntilKnown applies a change, and repeats it up to maxApplyAttempts times in all while its outcome is unknown.
func (c *Cluster) applyUntilKnown(ctx context.Context, daemon int, request commandhttp.ApplyRequest) (Edit, error) {
	e := Edit{Reason: request.Reason}
	for range maxApplyAttempts {
		reply, err := c.postConfig(ctx, daemon, request)
		if err != nil {
			return e, err
		}
		e.Verdict = reply.Verdict
		if reply.Root != nil {
			e.Revision = reply.Root.Revision
		}
		if e.Verdict != configure.Unknown {
			break
		}
	}
	return e, nil
}

// auditTrail reads the whole audit trail, newest change first.
func (c *Cluster) auditTrail(ctx context.Context) ([]configdoc.Change, error) {
	var trail []configdoc.Change
	next := configdoc.Hash("")
	for {
		page, err := readAuditPage(ctx, c.OperatorAddress(0), next)
		if err != nil {
			return nil, err
		}
		trail = append(trail, page.Changes...)
		if next = page.Next; next == "" {
			return trail, nil
		}
	}
}

func readAuditPage(ctx context.Context, address string, from configdoc.Hash) (queryhttp.AuditResponse, error) {
	var page queryhttp.AuditResponse
	url := fmt.Sprintf("http://%s/v1/audit?limit=100&from=%s", address, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return page, errors.Wrap(err, "cluster: building request")
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return page, errors.Wrap(err, "cluster: reading the audit trail")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return page, errors.Newf("cluster: reading the audit trail, status %d", resp.StatusCode)
	}
	return page, errors.Wrap(json.NewDecoder(resp.Body).Decode(&page), "cluster: reading the audit trail")
}

// Edits returns the results of RacingEditors.
func (c *Cluster) Edits() Edits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Edits{Edits: slices.Clone(c.edits.Edits), Trail: slices.Clone(c.edits.Trail), Took: c.edits.Took}
}
