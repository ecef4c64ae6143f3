package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
)

const (
	// avoidFailed is how long a member that did not respond is not asked again.
	avoidFailed = 3 * time.Second
	// maxCalls limits the owners that one round asks, since a call to another region takes a considerable part of a caller's time.
	maxCalls = 4
	// unavailableRetryAfter is the Retry-After of requests for which no owner responded.
	unavailableRetryAfter = 300 * time.Millisecond
)

// round is one round of messages for the requests of a workspace that wait for tokens.
type round struct {
	k         *Keeper
	workspace *model.Workspace
	needed    int
	// granted lists the zones of the granted tokens.
	granted []model.AvailabilityZone
	// refused means that an owner has no token, and next is the time until one of them has.
	refused bool
	next    time.Duration
}

// ask asks the owners of the zones one after the other, the near ones first, until there are enough tokens. Owners that are known to
// have none are left out.
func (r *round) ask(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), r.k.validity)
	defer cancel()
	r.next = math.MaxInt64
	calls := 0
	for _, zone := range r.k.askingOrder() {
		if len(r.granted) >= r.needed || calls >= maxCalls || ctx.Err() != nil {
			return
		}
		if empty := r.k.table.Empty(r.workspace.Name, zone, now); empty > 0 {
			r.refuse(empty)
			continue
		}
		owner, ok := r.k.table.Owner(r.workspace.Name, zone, now)
		if !ok || (zone != r.k.cfg.Self.Zone && r.k.cfg.Unreachable(zone)) {
			continue
		}
		calls++
		r.askOwner(ctx, &owner, zone)
	}
}

func (r *round) askOwner(ctx context.Context, owner *model.Member, zone model.AvailabilityZone) {
	missing := r.needed - len(r.granted)
	callCtx, cancel := context.WithTimeout(ctx, r.k.validity/2)
	defer cancel()
	reply, err := r.k.takeFrom(callCtx, owner, r.workspace, peer.QuotaTake{Tokens: missing})
	if err != nil || reply.Refused {
		return
	}
	for range min(reply.Granted, missing) {
		r.granted = append(r.granted, zone)
	}
	if reply.Granted < missing {
		r.refuse(reply.Next)
		r.k.table.SetEmpty(r.workspace.Name, zone, r.k.cfg.Now().Add(reply.Next))
	}
}

func (r *round) refuse(next time.Duration) { r.refused, r.next = true, min(r.next, next) }

// decision returns the decision on the request with the given index.
func (r *round) decision(index int) quota.Decision {
	switch {
	case index < len(r.granted):
		return quota.Decision{Outcome: quota.Granted, Zone: r.granted[index]}
	case r.refused:
		return quota.Decision{Outcome: quota.Refused, RetryAfter: retryAfter(r.next)}
	}
	return quota.Decision{Outcome: quota.Unavailable, RetryAfter: retryAfter(unavailableRetryAfter)}
}

// takeFrom sends a message to the owner of a workspace, which may be this daemon. A daemon that does not respond is avoided.
func (k *Keeper) takeFrom(ctx context.Context, owner *model.Member, w *model.Workspace, t peer.QuotaTake) (peer.QuotaTaken, error) {
	t.Workspace = w.Name
	_, t.Version = k.limitOf(w.Name)
	if owner.Instance == k.cfg.Self.Instance || k.cfg.Peers == nil {
		return k.HandleTake(&t), nil
	}
	reply, err := k.cfg.Peers.TakeQuota(ctx, owner.Address, t)
	if err != nil {
		k.table.Avoid(owner, k.cfg.Now().Add(avoidFailed))
		k.cfg.Log.Info().Str("instance", string(owner.Instance)).Msg("quota_member_avoided")
	}
	return reply, err
}

func (k *Keeper) askingOrder() []model.AvailabilityZone {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // only spreads messages
	return quota.AskingOrder(k.cfg.Zones, k.cfg.Self.Zone, k.cfg.Region, rnd)
}
