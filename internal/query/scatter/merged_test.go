package scatter

import (
	"testing"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
)

// TestLaterAttemptsAreNotMerged guards against the loss of all replies of a merged one, since the reply to a second attempt at
// one of their shards came first and was merged with others.
func TestLaterAttemptsAreNotMerged(t *testing.T) {
	c := &routeCall{call: &call{}, route: &model.Route{Index: &model.RouteIndex{Results: 5}}}
	shard := &model.Shard{Name: "a"}
	if limit := c.request(&shardState{shard: shard, attempts: 1}).Limit; limit != 5 {
		t.Errorf("the reply to a first attempt may hold %d records", limit)
	}
	if limit := c.request(&shardState{shard: shard, attempts: 2}).Limit; limit != 0 {
		t.Error("the reply to a second attempt is merged with others")
	}
}

// TestMergedRepliesDoNotOverlap guards against an answer that holds the records of one shard twice: merged replies cannot be
// taken apart, so that the second of two that share a shard is dropped whole.
func TestMergedRepliesDoNotOverlap(t *testing.T) {
	c := &routeCall{call: &call{shards: make([]shardState, 3)}}
	for i, name := range []model.ShardName{"a", "b", "c"} {
		c.shards[i].shard = &model.Shard{Name: name}
	}
	merged := func(names ...model.ShardName) *backend.MessageReply { return &backend.MessageReply{Shards: names} }
	single, first, second := &backend.MessageReply{}, merged("a", "b"), merged("b", "c")
	c.shards[0].message = single
	if !c.acceptMerged(first) || c.shards[0].message != first || c.shards[1].message != first {
		t.Error("a merged reply does not take the place of single ones")
	}
	if c.acceptMerged(second) || c.shards[1].message != first || c.shards[2].message != nil {
		t.Error("a merged reply is taken although one of its shards is part of another")
	}
}
