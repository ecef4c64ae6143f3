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

// maxClaimRounds bounds how often a claim is tried when writes and reads keep disagreeing.
const maxClaimRounds = 4

// heldClaim is a claim that this request holds.
type heldClaim struct {
	key     ClaimKey
	record  claim.Record
	version platform.Version
	// granted is from before the first write of the claim was sent.
	granted time.Time
}

// claiming is the state of claiming one key.
type claiming struct {
	held heldClaim
	// uncertain tells that a write may have taken effect without a reply.
	uncertain bool
	// contested tells that the store held another claim of the key, or one that may be.
	contested bool
}

// acquire claims the request's key. If it returns false, nothing may be sent and the result is the answer.
func (e *Executor) acquire(ctx context.Context, c *call) (heldClaim, tables.ExecutionResult, bool) {
	cl := claiming{held: heldClaim{
		key:     ClaimKey{Service: c.Service.Name, Key: c.key.String()},
		record:  e.newRecord(c),
		granted: e.cfg.Now(),
	}}
	var expect platform.Version
	for range maxClaimRounds {
		version, err := e.cfg.Claims.Write(ctx, cl.held.key, cl.held.record, expect)
		if err == nil {
			cl.held.version = version
			return cl.held, tables.ExecutionResult{}, true
		}
		cl.uncertain = cl.uncertain || errors.Is(err, platform.ErrUnknown)
		cl.contested = cl.contested || errors.Is(err, platform.ErrConflict)
		if !errors.Is(err, platform.ErrUnknown) && !errors.Is(err, platform.ErrConflict) {
			return cl.held, e.giveUp(c, cl, ReasonStoreUnreachable), false
		}
		existing, version, err := e.cfg.Claims.Read(ctx, cl.held.key)
		if errors.Is(err, platform.ErrNotFound) {
			// The write had no effect so far, or the read is stale. The next write succeeds only in the first case.
			expect = 0
			continue
		}
		if err != nil {
			cl.contested = cl.contested || errors.Is(err, ErrMalformedClaim)
			return cl.held, e.giveUp(c, cl, ReasonStoreUnreachable), false
		}
		action := claim.Decide(existing, cl.held.record.Nonce, c.digest)
		if action != claim.ActionTakeOver {
			cl.held.version = version
			return cl.held, existingResult(action, existing), action == claim.ActionSend
		}
		expect = version
	}
	return cl.held, e.giveUp(c, cl, ReasonStoreContended), false
}

// giveUp ends a request whose claim could not be settled. A claim that may have been written is released later, so that
// a retry need not be answered as unknown.
func (e *Executor) giveUp(c *call, cl claiming, reason string) tables.ExecutionResult {
	if cl.uncertain {
		e.recorder.releaseLater(cl.held.key, cl.held.record)
	}
	if cl.contested {
		return unknown(reason)
	}
	return c.nothingDone(reason, defaultRetryAfter)
}

// existingResult is the answer to a request whose key has a claim that may not be taken over.
func existingResult(action claim.Action, existing claim.Record) tables.ExecutionResult {
	switch action {
	case claim.ActionReturnResult:
		return tables.ExecutionResult{Outcome: model.OutcomeComplete, Result: existing.Result, Recorded: true}
	case claim.ActionReject:
		return tables.ExecutionResult{Rejected: true}
	case claim.ActionUnknown:
		return unknown(ReasonClaimedElsewhere)
	case claim.ActionSend, claim.ActionTakeOver:
	}
	return tables.ExecutionResult{}
}
