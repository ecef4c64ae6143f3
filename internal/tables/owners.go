package tables

import (
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Owners holds the daemons of each zone that may own backend servers, including this one. Reading the view takes no lock.
// Owner: command/fleet (members) and dispatch (avoided members).
type Owners struct {
	mu      lockorder.Mutex
	members map[model.AvailabilityZone][]model.Member
	avoided map[model.InstanceID]avoidance
	current atomic.Pointer[OwnerView]
}

// avoidance excludes one incarnation of a member from ownership for some time.
type avoidance struct {
	incarnation model.Incarnation
	until       time.Time
}

// OwnerView is an immutable snapshot of Owners. Version increases with every change.
type OwnerView struct {
	Version uint64
	Zones   map[model.AvailabilityZone][]model.Member
	// Preferred holds, of the members of each zone, those to which other daemons send work for the zone.
	Preferred map[model.AvailabilityZone][]model.Member
	// Members holds all members of each zone, also those that this daemon avoids.
	Members map[model.AvailabilityZone][]model.Member
}

// allMembers returns the members of all zones, in no particular order.
func allMembers(zones map[model.AvailabilityZone][]model.Member) []model.Member {
	var out []model.Member
	for _, members := range zones {
		out = append(out, members...)
	}
	return out
}

// NewOwners returns a table without members.
func NewOwners() *Owners {
	o := &Owners{mu: lockorder.New(OrderOwners), avoided: map[model.InstanceID]avoidance{}}
	o.current.Store(&OwnerView{})
	return o
}

// View returns the current snapshot.
func (o *Owners) View() *OwnerView { return o.current.Load() }

// SetMembers replaces the members. Each zone's list must be sorted by instance. It returns the members that are new, have
// restarted or have a new address.
func (o *Owners) SetMembers(zones map[model.AvailabilityZone][]model.Member, now time.Time) (joined []model.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for zone, members := range zones {
		joined = appendJoined(joined, members, o.members[zone])
	}
	o.members = zones
	o.publish(now)
	return joined
}

// appendJoined appends the members that are not in known. Both lists must be sorted by instance.
func appendJoined(joined, members, known []model.Member) []model.Member {
	for i := range members {
		m := &members[i]
		for len(known) > 0 && known[0].Instance < m.Instance {
			known = known[1:]
		}
		if len(known) == 0 || !sameMember(&known[0], m) {
			joined = append(joined, *m)
		}
	}
	return joined
}

// Avoid excludes a member from owning servers until the given time, or until it restarts.
func (o *Owners) Avoid(m model.Member, until, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.avoided[m.Instance] = avoidance{incarnation: m.Incarnation, until: until}
	o.publish(now)
}

// Expire includes the members again whose avoidance has ended. Without it they would be left out until the next change of the
// members.
func (o *Owners) Expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.avoided {
		if !a.until.After(now) {
			o.publish(now)
			return
		}
	}
}

// publish removes expired avoidances and stores a new view if it differs from the current one.
func (o *Owners) publish(now time.Time) {
	for id, a := range o.avoided {
		if !a.until.After(now) {
			delete(o.avoided, id)
		}
	}
	zones := make(map[model.AvailabilityZone][]model.Member, len(o.members))
	for zone, members := range o.members {
		for _, m := range members {
			if a, ok := o.avoided[m.Instance]; ok && a.incarnation == m.Incarnation {
				continue
			}
			zones[zone] = append(zones[zone], m)
		}
	}
	old := o.current.Load()
	if !sameZones(old.Zones, zones) || !sameZones(old.Members, o.members) {
		preferred := make(map[model.AvailabilityZone][]model.Member, len(zones))
		for zone, members := range zones {
			preferred[zone] = ownership.Preferred(members)
		}
		o.current.Store(&OwnerView{Version: old.Version + 1, Zones: zones, Preferred: preferred, Members: o.members})
	}
}

func sameZones(a, b map[model.AvailabilityZone][]model.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for zone, ms := range a {
		if !sameMembers(ms, b[zone]) {
			return false
		}
	}
	return true
}

func sameMembers(a, b []model.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameMember(&a[i], &b[i]) {
			return false
		}
	}
	return true
}

func sameMember(a, b *model.Member) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation && a.Address == b.Address
}
