package tables_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/decision/routing"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

const benchShards = 92

// benchTable returns a table of servers in services of 92 shards with two servers each, and the shards of one service.
func benchTable(servers int) (*tables.Servers, []*model.Shard) {
	t := tables.NewServers()
	var shards []*model.Shard
	for i := 0; i < servers || len(shards) < benchShards; i += 2 {
		sh := &model.Shard{Name: model.ShardName(fmt.Sprintf("shard-%d", i))}
		for j := range 2 {
			spec := &model.Server{ServerSpec: &model.ServerSpec{Name: model.ServerName(fmt.Sprintf("server-%06d", i+j)), Zone: "a"}}
			sh.Servers = append(sh.Servers, spec)
			t.Put(tables.NewServer(spec, nil, 2, time.Time{}))
		}
		if len(shards) < benchShards {
			shards = append(shards, sh)
		}
	}
	return t, shards
}

// BenchmarkReplicaChoice measures the choice of a replica for one sub-request of a fan-out of 92: reading the records
// of the shard's servers and deciding.
func BenchmarkReplicaChoice(b *testing.B) {
	for _, servers := range []int{100, 7_300, 73_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			t, shards := benchTable(servers)
			rnd := rand.New(rand.NewPCG(1, 2))
			now := time.Now()
			var records []*tables.Server
			zones := tables.NewZones(now)
			candidates := make([]routing.Candidate, 0, 4)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				records = t.AppendShard(records[:0], shards[i%benchShards])
				candidates = candidates[:len(records)]
				for j, r := range records {
					r.FillCandidate(&candidates[j], now)
				}
				zones.Exclude(candidates)
				if _, ok := routing.Choose(candidates, rnd); !ok {
					b.Fatal("no replica")
				}
			}
		})
	}
}
