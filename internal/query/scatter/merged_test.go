package scatter

import (
	"testing"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// TestLaterAttemptsAreNotMerged guards against the loss of a whole merged reply because the reply to a second attempt at one
// of its shards arrived first as part of another merged reply.
func TestLaterAttemptsAreNotMerged(t *testing.T) {
	c := &routeCall{call: &call{}, route: &model.Route{Index: &model.FanOut{Results: 5}}}
	shard := &model.Shard{Name: "a"}
	if limit := c.request(&shardState{shard: shard, attempts: 1}).Limit; limit != 5 {
		t.Errorf("the reply to a first attempt may have %d records, want 5", limit)
	}
	if limit := c.request(&shardState{shard: shard, attempts: 2}).Limit; limit != 0 {
		t.Error("the reply to a second attempt may be merged with others")
	}
}

// TestMergedRepliesDoNotOverlap guards against an answer that has the records of one shard twice. Merged replies cannot be
// split, so the second of two replies that share a shard must be dropped whole.
func TestMergedRepliesDoNotOverlap(t *testing.T) {
	c := &routeCall{call: &call{shards: make([]shardState, 3)}}
	for i, name := range []model.ShardName{"a", "b", "c"} {
		c.shards[i].shard = &model.Shard{Name: name}
	}
	merged := func(names ...model.ShardName) *backend.MessageReply { return &backend.MessageReply{Shards: names} }
	single, first, second := &backend.MessageReply{}, merged("a", "b"), merged("b", "c")
	c.shards[0].messageReply = single
	if !c.acceptMerged(first) || c.shards[0].messageReply != first || c.shards[1].messageReply != first {
		t.Error("a merged reply does not replace the single replies of its shards")
	}
	if c.acceptMerged(second) || c.shards[1].messageReply != first || c.shards[2].messageReply != nil {
		t.Error("a merged reply is accepted although one of its shards is part of another merged reply")
	}
}
