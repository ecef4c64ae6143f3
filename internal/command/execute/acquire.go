package execute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/decision/claim"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/tables"
)

// maxClaimAttempts bounds how often a claim is written while each write fails and the read after it finds no claim or a
// released one.
const maxClaimAttempts = 4

// heldClaim is a claim that this request holds.
type heldClaim struct {
	key     ClaimKey
	record  claim.Record
	version platform.Version
	// granted is a time before the first write of the claim was sent.
	granted time.Time
}

// claimAttempt is the state of claiming one key.
type claimAttempt struct {
	held heldClaim
	// mayBeWritten reports whether a write may have taken effect although its reply was lost.
	mayBeWritten bool
	// mayBeHeldByOther reports whether the store held a claim of the key that belongs, or may belong, to another request.
	mayBeHeldByOther bool
}

// acquire claims the request's key. If it returns false, the request must not be sent and the result is its outcome.
func (e *Executor) acquire(ctx context.Context, c *call) (heldClaim, tables.ExecutionResult, bool) {
	cl := claimAttempt{held: heldClaim{
		key:     ClaimKey{Service: c.Service.Name, Key: c.key.String()},
		record:  e.newClaimRecord(c),
		granted: e.cfg.Now(),
	}}
	var expect platform.Version
	for range maxClaimAttempts {
		version, err := e.cfg.Claims.Write(ctx, cl.held.key, cl.held.record, expect)
		if err == nil {
			cl.held.version = version
			return cl.held, tables.ExecutionResult{}, true
		}
		cl.mayBeWritten = cl.mayBeWritten || errors.Is(err, platform.ErrUnknown)
		cl.mayBeHeldByOther = cl.mayBeHeldByOther || errors.Is(err, platform.ErrConflict)
		if !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, platform.ErrConflict) {
			return cl.held, e.abandonClaim(c, cl, ReasonStoreUnreachable), false
		}
		existing, version, err := e.cfg.Claims.Read(ctx, cl.held.key)
		if errors.Is(err, platform.ErrNotFound) {
			// The write has had no effect so far, or the read is stale. The next write succeeds only in the first case.
			expect = 0
			continue
		}
		if err != nil {
			cl.mayBeHeldByOther = cl.mayBeHeldByOther || errors.Is(err, ErrMalformedClaim)
			return cl.held, e.abandonClaim(c, cl, ReasonStoreUnreachable), false
		}
		action := claim.Decide(existing, cl.held.record.Nonce, c.digest)
		if action != claim.ActionTakeOver {
			cl.held.version = version
			return cl.held, existingClaimResult(action, existing), action == claim.ActionSend
		}
		expect = version
	}
	return cl.held, e.abandonClaim(c, cl, ReasonStoreContended), false
}

// abandonClaim ends a request that could not determine whether it holds its claim. A claim that may have been written is
// released in the background, so that a retry does not have to be answered as unknown.
func (e *Executor) abandonClaim(c *call, cl claimAttempt, reason string) tables.ExecutionResult {
	if cl.mayBeWritten {
		e.recorder.releaseAsync(cl.held.key, cl.held.record)
	}
	if cl.mayBeHeldByOther {
		return unknownResult(reason)
	}
	return c.unclaimedResult(reason, defaultRetryAfter)
}

// existingClaimResult returns the result of a request whose key has a claim that may not be taken over.
func existingClaimResult(action claim.Action, existing claim.Record) tables.ExecutionResult {
	switch action {
	case claim.ActionReturnResult:
		return tables.ExecutionResult{Outcome: model.OutcomeComplete, Result: existing.Result, Recorded: true}
	case claim.ActionReject:
		return tables.ExecutionResult{Rejected: true}
	case claim.ActionUnknown:
		return unknownResult(ReasonClaimedElsewhere)
	case claim.ActionSend, claim.ActionTakeOver:
	}
	return tables.ExecutionResult{}
}
