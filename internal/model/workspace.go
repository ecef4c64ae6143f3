package model

import (
	"crypto/sha256"
	"slices"
)

// WorkspaceName names a workspace, unique within one version of the routing configuration. An empty name means none.
type WorkspaceName string

// KeyDigest is the digest by which a workspace's key is known. Keys themselves are neither kept nor sent to other daemons.
type KeyDigest [16]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest {
	// With the buffer on the stack, a key of usual length is digested without an allocation.
	var buffer [64]byte
	sum := sha256.Sum256(append(buffer[:0], key...))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Quota limits the requests of a workspace over the whole fleet. A rate of 0 means no limit.
type Quota struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may come at once, in addition to the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Regions is a set of regions. A nil set contains all regions, an empty one that is not nil contains none.
type Regions []Region

// Contains reports whether the region is in the set. The empty region, which stands for that of a zone that is not defined, is only
// in the set of all regions.
func (rs Regions) Contains(r Region) bool { return rs == nil || (r != "" && slices.Contains(rs, r)) }

// within reports whether all regions of rs are in other. Neither set is nil.
func (rs Regions) within(other Regions) bool {
	return !slices.ContainsFunc(rs, func(r Region) bool { return !slices.Contains(other, r) })
}

// Intersect returns the regions that are in both sets. The result may share memory with one of them.
func (rs Regions) Intersect(other Regions) Regions {
	switch {
	case rs == nil || (other != nil && other.within(rs)):
		return other
	case other == nil || rs.within(other):
		return rs
	}
	both := Regions{}
	for _, r := range rs {
		if slices.Contains(other, r) {
			both = append(both, r)
		}
	}
	return both
}

// Workspace is an organization whose callers share keys, a quota and home regions.
type Workspace struct {
	Name WorkspaceName
	// Keys are the digests of the keys that are valid.
	Keys []KeyDigest
	// HasRank means that Rank replaces the rank of the route.
	HasRank bool
	Rank    Rank
	Quota   Quota
	// Regions are the home regions, as in Route.
	Regions Regions
}

// RequestPolicy states how a request is served, as its route and its workspace define it together.
type RequestPolicy struct {
	// Workspace is empty if the request needs no key.
	Workspace WorkspaceName
	// Key is the digest of the request's key. It is zero in all daemons but the one that received the request.
	Key  KeyDigest
	Rank Rank
	// Regions are the regions in which the request may be served.
	Regions Regions
}

// Restricted reports whether a daemon must know workspaces and home regions to take part in serving the request.
func (p *RequestPolicy) Restricted() bool { return p.Workspace != "" || p.Regions != nil }

// workspaceIndex finds workspaces by name and by key.
type workspaceIndex struct {
	byName map[WorkspaceName]*Workspace
	byKey  map[KeyDigest]*Workspace
}

func newWorkspaceIndex(workspaces []Workspace) workspaceIndex {
	ix := workspaceIndex{
		byName: make(map[WorkspaceName]*Workspace, len(workspaces)),
		byKey:  make(map[KeyDigest]*Workspace, len(workspaces)),
	}
	for i := range workspaces {
		w := &workspaces[i]
		ix.byName[w.Name] = w
		for _, key := range w.Keys {
			ix.byKey[key] = w
		}
	}
	return ix
}

// RequiresKey reports whether requests of the route must carry a key.
func (r *Routing) RequiresKey(route *Route) bool { return r.KeysRequired && !route.Public }

// Authenticate returns the workspace that has the key, or nil if none has.
func (r *Routing) Authenticate(key KeyDigest) *Workspace { return r.workspaces.byKey[key] }

// Workspace returns the named workspace, or nil if there is none.
func (r *Routing) Workspace(name WorkspaceName) *Workspace { return r.workspaces.byName[name] }

// Permits reports whether a request that was accepted with the policy, possibly under an earlier version, may be sent under this one:
// its key still belongs to its workspace. Where the key is not known, the workspace must exist and have a key.
func (r *Routing) Permits(p *RequestPolicy) bool {
	switch {
	case p.Workspace == "":
		return true
	case p.Key == KeyDigest{}:
		w := r.Workspace(p.Workspace)
		return w != nil && len(w.Keys) > 0
	}
	w := r.Authenticate(p.Key)
	return w != nil && w.Name == p.Workspace
}

// Policy returns the policy of a request of the route. workspace is nil if the request needs no key.
func (r *Routing) Policy(route *Route, workspace *Workspace) RequestPolicy {
	p := RequestPolicy{Rank: route.Rank, Regions: route.Regions}
	if workspace == nil {
		return p
	}
	p.Workspace = workspace.Name
	p.Regions = route.Regions.Intersect(workspace.Regions)
	if workspace.HasRank {
		p.Rank = workspace.Rank
	}
	return p
}
