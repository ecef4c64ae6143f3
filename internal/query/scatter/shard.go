package scatter

import (
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
)

// shardState is what a call knows about one shard.
type shardState struct {
	shard   *model.Shard
	replies []shardReply
	// message is the server's answer to a message that is passed on.
	message *backend.MessageReply
	held    []model.IndexVersion
	pending []*dispatch.QueryAttempt
	tried   []model.ServerName
	// attempts counts those that were or may have been sent, and unsent those that ended before they were.
	attempts int
	unsent   int
	// want is the version asked for; 0 means the current one.
	want model.IndexVersion
	// optional marks a shard whose only replicas are ejected: its attempt is a probe that the answer need not wait for.
	optional bool
	// hedgeAt is when a hedge is worth sending; zero if none is.
	hedgeAt time.Time
}

type shardReply struct {
	version model.IndexVersion
	items   []model.Item
}

func (s *shardState) removePending(q *dispatch.QueryAttempt) {
	s.pending = slices.DeleteFunc(s.pending, func(p *dispatch.QueryAttempt) bool { return p == q })
}

// answers tells whether a reply of the version is in hand; 0 stands for any.
func (s *shardState) answers(v model.IndexVersion) bool {
	if s.message != nil {
		return true
	}
	for _, r := range s.replies {
		if v == 0 || r.version == v {
			return true
		}
	}
	return false
}
