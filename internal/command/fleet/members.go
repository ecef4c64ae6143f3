package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/pool"
)

const (
	listTimeout = 3 * time.Second
	// The list is read again rarely: digests report members too, and a zone's list may have hundreds of entries.
	relayListInterval = 15 * time.Second
	listInterval      = 2 * time.Minute
	// minKnownMembers is the number of known members below which a starting daemon reads the list of all zones.
	minKnownMembers = 3
)

// runMemberList reads the platform's list of daemons until ctx ends. It closes a.firstListDone after the first
// attempt.
func (a *Agent) runMemberList(ctx context.Context) {
	rnd := a.random()
	failures := 0
	err := a.readFirstList(ctx)
	close(a.firstListDone)
	for {
		delay := listInterval
		if a.isRelay(time.Now()) {
			delay = relayListInterval
		}
		delay = gossip.Jittered(delay, rnd)
		if err != nil {
			failures++
			delay = gossip.Backoff(failures, rnd) + minWatchInterval
		} else {
			failures = 0
		}
		if !pool.Sleep(ctx, delay) {
			return
		}
		err = a.listMembers(ctx, a.Members.Self().Zone)
		if zone := a.otherZone(rnd); err == nil && zone != "" {
			err = a.listMembers(ctx, zone)
		}
	}
}

func (a *Agent) readFirstList(ctx context.Context) error {
	err := a.listMembers(ctx, a.Members.Self().Zone)
	if err == nil && len(a.Members.Snapshot(nil)) < minKnownMembers {
		err = a.listMembers(ctx, "")
	}
	return err
}

// otherZone returns a random zone of the inventory other than this daemon's, or "".
func (a *Agent) otherZone(rnd *rand.Rand) model.AvailabilityZone {
	t := a.Config.Current()
	if t == nil || len(t.Inventory.Zones) == 0 {
		return ""
	}
	zone := t.Inventory.Zones[rnd.IntN(len(t.Inventory.Zones))].Name
	if zone == a.Members.Self().Zone {
		return ""
	}
	return zone
}

// listMembers reads the list of a zone, or of all zones if zone is empty.
func (a *Agent) listMembers(ctx context.Context, zone model.AvailabilityZone) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := a.Instances.Instances(ctx, platform.InstanceQuery{Role: platform.RoleEntry, Zone: zone})
	if err != nil {
		a.Log.Debug().Err(err).Msg("member_list_failed")
		return err
	}
	listed := make([]model.Member, 0, len(instances))
	for _, inst := range instances {
		listed = append(listed, model.Member{Instance: model.InstanceID(inst.Name), Zone: inst.Zone, Address: inst.Address})
	}
	a.Members.SetListed(zone, listed, time.Now())
	return nil
}
