package dispatch

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/snapshot"
	"oleandersill.example/oleandersill/internal/model"
)

// RecordMixedVersions records that shards of the service replied with different index versions.
func (d *Dispatcher) RecordMixedVersions(service model.ServiceName, now time.Time) {
	d.rollouts.RecordMismatch(service, now)
}

// PreferredVersion returns the index version that the first attempts of a query should request, or 0 for the current
// version of each server. While versions change, it is the newest version that all servers of the service last reported.
func (d *Dispatcher) PreferredVersion(svc *model.Service, now time.Time) model.IndexVersion {
	if !d.rollouts.Active(svc.Name, now) {
		return 0
	}
	var t snapshot.VersionCounter
	for _, sh := range svc.Shards {
		for _, r := range d.Servers.AppendShard(nil, sh) {
			t.Add(r.HeldVersions())
		}
	}
	return t.NewestCommon()
}

// heldVersions returns the index versions that the server holds according to the result.
func heldVersions(r backend.QueryResult) []model.IndexVersion {
	if r.Status != backend.StatusOK {
		return r.Retained
	}
	if slices.Contains(r.Reply.Retained, r.Reply.Version) {
		return r.Reply.Retained
	}
	return append(slices.Clone(r.Reply.Retained), r.Reply.Version)
}
