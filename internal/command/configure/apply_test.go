package configure_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestConfigure(t *testing.T) { suite.Run(t, "./internal/command/configure") }

func newConfigurer(s *faultyStore) *configure.Configurer {
	backoff := configstore.Backoff{MaxAttempts: 8, InitialDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	return &configure.Configurer{Store: s, Now: time.Now, Backoff: backoff}
}

// change returns a valid configuration whose two services have the given numbers of slots.
func change(expect model.Revision, editor string, searchSlots, clipSlots int) configure.Change {
	rule := func(rank string) model.RankRule {
		return model.RankRule{Rank: rank, MinShare: 0.2, TargetMs: 100, MaxQueueMs: 10}
	}
	service := func(name string, port, slots int) model.ServiceSpec {
		return model.ServiceSpec{Name: model.ServiceName(name), ShardMapEpoch: 1, Shards: []model.ShardSpec{{
			Name: "s0", KeyTo: model.KeySpace, Servers: []model.ServerSpec{{
				Name: model.ServerName(name), Address: fmt.Sprintf("127.0.0.1:%d", port), Zone: "z1",
				Slots: slots, Connections: 25,
			}},
		}}}
	}
	return configure.Change{
		Inventory: model.Inventory{
			MaxInstances: 8,
			Zones:        []model.ZoneSpec{{Name: "z1", Region: "r1"}},
			Services:     []model.ServiceSpec{service("search", 1000, searchSlots), service("clips", 1001, clipSlots)},
		},
		Rules: model.Rules{
			Ranks:     []model.RankRule{rule("urgent"), rule("standard"), rule("deferred")},
			Hedge:     model.HedgeRule{WindowMs: 1000, Quantile: 0.9},
			Retry:     model.RetryRule{WindowMs: 1000, MaxAttempts: 1},
			Deadlines: model.DeadlineRule{DefaultMs: 100, MaxMs: 1000},
		},
		Expect: expect, Editor: editor, Reason: fmt.Sprintf("%s wants %d and %d", editor, searchSlots, clipSlots),
	}
}

// failHeadWrites returns a plan in which the next n writes of the head have fault f.
func failHeadWrites(n int, f fault) func(op, key string) fault {
	return func(op, key string) fault {
		if op != "put" || key != configdoc.KeyHead || n == 0 {
			return ok
		}
		n--
		return f
	}
}

// Guards against a verdict that contradicts the head: each entry is a fault after which the verdict could be wrong.
var _ = DescribeTable("a change under store faults gets a verdict that agrees with the head",
	func(plan func(op, key string) fault, verdict configure.Verdict, applied bool) {
		store := newFaultyStore()
		c := newConfigurer(store)
		Expect(c.Apply(context.Background(), change(0, "first", 1, 1)).Verdict).To(Equal(configure.Accepted))
		store.faultOf = plan
		result := c.Apply(context.Background(), change(1, "anna", 2, 1))
		store.faultOf = nil
		store.applyPending()
		Expect(result.Verdict).To(Equal(verdict), result.Detail)
		root, err := configdoc.DecodeRoot(store.last(configdoc.KeyHead).Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(root.Editor == "anna").To(Equal(applied))
		if verdict == configure.Unknown {
			again := c.Apply(context.Background(), change(1, "anna", 2, 1))
			Expect(again.Verdict).To(Equal(configure.Accepted), "applying an unknown change again determines its outcome")
			Expect(again.Root.Revision).To(Equal(model.Revision(2)))
		}
	},
	Entry("head write lost before it took effect", failHeadWrites(1, lostRequest), configure.Accepted, true),
	Entry("reply of the head write lost", failHeadWrites(1, lostReply), configure.Accepted, true),
	Entry("every reply of head writes lost", failHeadWrites(1000, lostReply), configure.Accepted, true),
	Entry("head write that takes effect late", failHeadWrites(1, delayed), configure.Accepted, true),
	Entry("all head writes take effect late", failHeadWrites(1000, delayed), configure.Unknown, true),
	Entry("store unavailable for one head write", failHeadWrites(1, unavailable), configure.Accepted, true),
	Entry("store unavailable for all head writes", failHeadWrites(1000, unavailable), configure.NotAccepted, false),
	Entry("reply of the head write lost and every second read of the head stale", func(op, key string) fault {
		switch {
		case key != configdoc.KeyHead:
			return ok
		case op == "put":
			return lostReply
		}
		return everySecondReadStale()
	}, configure.Accepted, true),
	Entry("every reply of every write lost", func(op, _ string) fault {
		if op == "put" {
			return lostReply
		}
		return ok
	}, configure.Accepted, true),
	Entry("store unavailable for part writes", func(op, key string) fault {
		if op == "put" && strings.HasPrefix(key, configdoc.PrefixParts) {
			return unavailable
		}
		return ok
	}, configure.NotAccepted, false),
	Entry("store down", func(string, string) fault { return unavailable }, configure.NotAccepted, false),
)

// everySecondReadStale makes every second read return a stale entry.
var everySecondReadStale = func() func() fault {
	n := 0
	return func() fault {
		n++
		if n%2 == 0 {
			return stale
		}
		return ok
	}
}()
