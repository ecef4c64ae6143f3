package acceptance_test

import (
	"context"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// session is a daemon with one backend server for each shard, so that its messages do not depend on the choice of replicas.
type session struct {
	transcript
	store   *platformserver.Server
	servers map[string]*backendserver.Server
	change  configure.Change
	daemon  *daemon.Daemon
}

func newSession(ctx context.Context) *session {
	s := &session{store: platformserver.New(), servers: map[string]*backendserver.Server{}}
	platform, err := s.store.Listen("127.0.0.1:0", "luzon")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	s.change = configure.Change{
		Editor: "setup", Reason: "start",
		Inventory: model.Inventory{
			MaxInstances: 2, Zones: []model.ZoneSpec{{Name: "luzon", Region: "luzon"}},
			Services: []model.ServiceSpec{
				{Name: "search", ShardMapEpoch: 1, Shards: []model.ShardSpec{
					s.shard("s0", 0, 20_000), s.shard("s1", 20_000, 40_000), s.shard("s2", 40_000, model.KeySpace),
				}},
				{Name: "payouts", ShardMapEpoch: 1, Shards: []model.ShardSpec{s.shard("all", 0, model.KeySpace)}},
			},
		},
		Rules: model.Rules{
			Ranks: []model.RankRule{
				{Rank: "urgent", TargetMs: 1000}, {Rank: "standard", TargetMs: 1000}, {Rank: "deferred", TargetMs: 1000},
			},
			Hedge:     model.HedgeRule{WindowMs: 10_000, Quantile: 0.95},
			Retry:     model.RetryRule{WindowMs: 10_000, MaxAttempts: 1},
			Deadlines: model.DeadlineRule{DefaultMs: 10_000, MaxMs: 20_000},
		},
	}
	c := configure.Configurer{Store: s.store.Data(), Now: time.Now}
	result := c.Apply(ctx, s.change)
	Expect(result.Verdict).To(Equal(configure.Accepted), "%+v", result)
	set := settings.Defaults()
	set.Instance, set.Zone, set.Region, set.PlatformAddress = "entry-1", "luzon", "luzon", platform.Address()
	set.CallerAddress, set.OperatorAddress, set.DrainGraceMs = "127.0.0.1:0", "127.0.0.1:0", 0
	set.OperatorToken = operatorToken
	s.daemon, err = daemon.Start(set, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.daemon.Stop)
	awaitReady("http://" + s.daemon.CallerAddress())
	return s
}

func (s *session) shard(name model.ShardName, from, to int) model.ShardSpec {
	server := string(name) + "-a"
	s.servers[server] = backendserver.New(backendserver.Config{
		Name: model.ServerName(server), Shard: name, Epoch: 1, Version: 1, Slots: 2, Items: 2, Seed: 1,
	})
	DeferCleanup(s.servers[server].Close)
	return model.ShardSpec{Name: name, KeyFrom: from, KeyTo: to, Servers: []model.ServerSpec{{
		Name: model.ServerName(server), Address: s.listen(server, s.servers[server]), Zone: "luzon", Slots: 2, Connections: 16,
	}}}
}

func (s *session) query() *request {
	return &request{
		from: "caller", to: s.daemon.CallerAddress(), path: "/v1/services/search/query",
		header: http.Header{"X-Caller": {"app"}}, body: `{"text":"tea","limit":3}`,
	}
}

func (s *session) payout(key, first string) *request {
	return &request{
		from: "caller", to: s.daemon.CallerAddress(), path: "/v1/services/payouts/execute",
		header: http.Header{
			"X-Caller": {"desk"}, "X-Deadline-Ms": {"5000"}, "Idempotency-Key": {key}, "X-First-Attempt": {first},
		},
		body: `{"body":"12"}`,
	}
}

func (s *session) operator(path, body string) *request {
	return &request{from: "operator", to: s.daemon.OperatorAddress(), path: path, body: body}
}

// apply returns the request to apply an edit of revision 1. The transcript shows only its fields that sessions vary.
func (s *session) apply(editor string, merge bool, edit func(*configure.Change)) *request {
	c := s.change
	c.Editor, c.Reason, c.Expect, c.Merge = editor, "session", 1, merge
	edit(&c)
	r := s.operator("/v1/config/apply", encode(commandhttp.ApplyRequest(c)))
	r.shownBody = encode(map[string]any{
		"editor": editor, "expect": c.Expect, "merge": merge, "max_instances": c.Inventory.MaxInstances,
		"default_ms": c.Rules.Deadlines.DefaultMs,
	})
	return r
}

// Guards against unintended changes to the messages that callers, operators and backend servers see. To rewrite the golden
// files, run: go test ./internal/testing/acceptance -ginkgo.focus=golden -update
var _ = DescribeTable("the messages of a session equal those of its golden file",
	func(ctx SpecContext, name string, run func(*session)) {
		s := newSession(ctx)
		run(s)
		file, got := filepath.Join("testdata", name+".golden"), s.normalised()
		if *update {
			Expect(os.WriteFile(file, []byte(got), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(string(want)))
	},
	Entry("a complete answer", "complete", func(s *session) { s.exchange(s.query()) }),
	Entry("a partial answer", "partial", func(s *session) {
		s.note("s1-a drains")
		s.servers["s1-a"].SetFaults(backendserver.Faults{Draining: true})
		s.exchange(s.query())
		s.note("s1-a is known to be leaving and gets nothing")
		s.exchange(s.query())
	}),
	Entry("refusals", "refusal", func(s *session) {
		s.note("the deadline exceeds the rules")
		request := s.query()
		request.header.Set("X-Deadline-Ms", "20001")
		s.exchange(request)
		s.note("the store is down, first attempt")
		s.store.SetFaults(platformserver.Faults{Down: true})
		key := newIdempotencyKey()
		s.exchange(s.payout(key, "true"))
		s.note("the same key again, not stated to be the first attempt")
		s.exchange(s.payout(key, "false"))
		s.note("the store is up again")
		s.store.SetFaults(platformserver.Faults{})
		s.exchange(s.payout(key, "false"))
	}),
	Entry("a lost write reply of the store", "lost-write-reply", func(s *session) {
		s.exchange(s.payout(newIdempotencyKey(), "true"))
		s.note("every write takes effect and its reply is lost")
		s.store.SetFaults(platformserver.Faults{LostReplies: 1})
		key := newIdempotencyKey()
		s.exchange(s.payout(key, "true"))
		s.note("the same key again")
		s.exchange(s.payout(key, "false"))
	}),
	Entry("a change of the index version", "index-version", func(s *session) {
		s.note("s1-a moves to version 2 and retains version 1")
		s.servers["s1-a"].SetVersion(2, 1)
		s.exchange(s.query())
		s.note("s0-a moves to version 2 and retains nothing")
		s.servers["s0-a"].SetVersion(2, 0)
		s.exchange(s.query())
		s.note("s2-a moves to version 2")
		s.servers["s2-a"].SetVersion(2, 0)
		s.exchange(s.query())
	}),
	Entry("a drain", "drain", func(s *session) {
		release := s.holdReplies()
		query := s.query()
		reply := s.send(query)
		s.awaitReplies(3)
		s.note("the query is at its servers")
		s.exchange(s.operator("/v1/drain", "{}"))
		release()
		s.receive(query, reply)
		Eventually(s.daemon.Drained(), "10s").Should(BeClosed())
		s.note("the drain has ended")
		s.exchange(s.query())
	}),
	Entry("a conflict between two operators", "conflict", func(s *session) {
		rules := func(c *configure.Change) { c.Rules.Deadlines.DefaultMs = 9000 }
		fleet := func(c *configure.Change) { c.Inventory.MaxInstances = 4 }
		s.exchange(s.apply("anna", false, rules))
		s.exchange(s.apply("ben", false, fleet))
		s.exchange(s.apply("ben", true, fleet))
		s.note("a merge of two edits of one part")
		s.exchange(s.apply("ben", true, func(c *configure.Change) { c.Rules.Deadlines.DefaultMs = 8000 }))
		s.exchange(s.operator("/v1/audit", ""))
	}),
)
