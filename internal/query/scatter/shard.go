package scatter

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// shardState is the state of one shard in a call.
type shardState struct {
	shard   *model.Shard
	replies []shardReply
	// messageReply is the accepted reply to a request of a route.
	messageReply *backend.MessageReply
	// heldVersions are the index versions that servers of the shard reported to hold.
	heldVersions []model.IndexVersion
	pending      []*dispatch.QueryAttempt
	tried        []model.ServerName
	// attempts counts the attempts toward the route's limit, and unsent those that do not count.
	attempts int
	unsent   budget.UnsentAttempts
	// wantVersion is the index version to request; 0 means the server's current one.
	wantVersion model.IndexVersion
	// optional marks a shard whose replicas are all ejected: its attempt is a probe, which the answer need not wait for.
	optional bool
	// hedgeAt is when a hedge is due; zero if none is.
	hedgeAt time.Time
}

type shardReply struct {
	version model.IndexVersion
	items   []model.Item
}

func (s *shardState) removePending(q *dispatch.QueryAttempt) {
	s.pending = slices.DeleteFunc(s.pending, func(p *dispatch.QueryAttempt) bool { return p == q })
}

// hasReply reports whether a reply of the given version was received; 0 stands for any version.
func (s *shardState) hasReply(v model.IndexVersion) bool {
	if s.messageReply != nil {
		return true
	}
	for _, r := range s.replies {
		if v == 0 || r.version == v {
			return true
		}
	}
	return false
}
