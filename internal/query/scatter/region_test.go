package scatter_test

import (
	"context"
	"errors"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/budget"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

// region is one daemon of two that forward to each other.
type region struct {
	*routeBench
	self       model.Member
	forwarding *dispatch.Forwarding
	other      *region
	cut        bool
	batches    int
}

// Forward implements dispatch.Sender.
func (r *region) Forward(_ context.Context, _ string, b forwarding.Batch) (forwarding.Receipt, error) {
	if r.cut {
		return forwarding.Receipt{}, errors.New("cut off")
	}
	if len(b.Queries) > 0 {
		r.batches++
	}
	return r.other.forwarding.Receive(b), nil
}

// newRegions returns the daemon of a region without servers, and the one of the region of the servers sN-a; sN-b are in a
// third region without a daemon. near and far script the servers as each daemon meets them.
func newRegions(near, far map[model.ServerName]fakebackend.Script) (asker, helper *region) {
	asker = &region{self: model.Member{Instance: "asker", Zone: "z1", Address: "asker"}}
	helper = &region{self: model.Member{Instance: "helper", Zone: "z2", Address: "helper"}}
	asker.other, helper.other = helper, asker
	asker.routeBench = newRouteBenchIn("z1", near)
	helper.routeBench = newRouteBenchIn("z2", far)
	for _, r := range []*region{asker, helper} {
		owners := tables.NewOwners()
		r.forwarding = r.searcher.Dispatcher.EnableForwarding(dispatch.ForwardingConfig{
			Sender: r, Self: r.self, Owners: owners, Draining: func() bool { return false },
		})
		owners.SetMembers(map[model.AvailabilityZone][]model.Member{r.other.self.Zone: {r.other.self}}, time.Now())
	}
	return asker, helper
}

// spendAll leaves the daemon no extra attempts of its own.
func (r *region) spendAll() {
	r.searcher.Dispatcher.ServiceBudgets.SetRule(budget.FleetRule{Span: time.Hour})
}

// shardsOf returns the number of shards that replies cover, each counted once.
func shardsOf(replies []*backend.MessageReply) (signatures int) {
	for _, r := range replies {
		signatures += len(r.Signatures)
	}
	return signatures
}

func body(s string) fakebackend.Script { return fakebackend.Script{Body: s} }

var _ = Describe("a request for shards of another region", func() {
	It("is answered with merged replies that cover each shard once", func() {
		asker, helper := newRegions(nil, map[model.ServerName]fakebackend.Script{"s0-a": body("aaaaaaaaaaaaaaaa")})
		a, _ := asker.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(shardsOf(a.Replies)).To(Equal(4))
		Expect(asker.batches).To(Equal(1))
		Expect(helper.connector.Total()).To(BeNumerically(">", 0))
	})

	It("does not wait for a shard that pauses there, and covers no shard twice", func() {
		// Guards against one slow server that holds the replies of all others of its region back.
		asker, _ := newRegions(nil, map[model.ServerName]fakebackend.Script{"s0-a": slow, "s1-a": slow})
		for range 4 {
			a, took := asker.pass(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(shardsOf(a.Replies)).To(Equal(4))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
	})

	It("asks a second server in another zone through the daemon there", func() {
		// Guards against second attempts that spend their time on new connections across regions.
		asker, helper := newRegions(map[model.ServerName]fakebackend.Script{"s0-b": slow, "s1-b": slow, "s2-b": slow, "s3-b": slow}, nil)
		for range 8 {
			a, took := asker.pass(context.Background())
			Expect(a.Outcome).To(Equal(model.OutcomeComplete))
			Expect(took).To(BeNumerically("<", routeTarget))
		}
		for _, server := range []model.ServerName{"s0-a", "s1-a", "s2-a", "s3-a"} {
			Expect(asker.connector.Queries(server)).To(BeZero())
			Expect(helper.connector.Queries(server)).To(BeNumerically(">", 0))
		}
	})

	DescribeTable("asks a second server at the cost of the daemon there once its own extra attempts are spent",
		// Guards against shards that are missing since one daemon of a large fleet has a small part of the budget, which others
		// have left.
		func(failing fakebackend.Script) {
			asker, helper := newRegions(map[model.ServerName]fakebackend.Script{"s0-b": failing, "s1-b": failing}, nil)
			asker.spendAll()
			for range 8 {
				a, took := asker.pass(context.Background())
				Expect(a.Outcome).To(Equal(model.OutcomeComplete))
				Expect(took).To(BeNumerically("<", routeTarget))
			}
			Expect(helper.connector.Total()).To(BeNumerically(">", 0))
		},
		Entry("that is late", slow),
		Entry("that loses its reply", fakebackend.Script{Status: backend.StatusLost}),
	)

	It("asks no second server when the daemon there cannot pay for it either", func() {
		// Guards against daemons that together send more extra attempts than the fleet may.
		for range 4 {
			asker, helper := newRegions(map[model.ServerName]fakebackend.Script{"s0-b": slow, "s1-b": slow, "s2-b": slow, "s3-b": slow}, nil)
			asker.spendAll()
			helper.spendAll()
			asker.pass(context.Background())
			Expect(asker.connector.Total() + helper.connector.Total()).To(Equal(len(asker.route.Index.Services)))
		}
	})

	It("is not said to have run nowhere if another daemon was asked to send it", func() {
		// Guards against a refusal that promises that no server runs the request, while one does.
		shed := fakebackend.Script{Status: backend.StatusShed}
		scripts := map[model.ServerName]fakebackend.Script{"s0-a": slow, "s0-b": shed}
		for _, service := range []string{"s1", "s2", "s3"} {
			maps.Copy(scripts, both(service, shed))
		}
		asker, helper := newRegions(scripts, scripts)
		a, _ := asker.pass(context.Background())
		Expect(helper.connector.Queries("s0-a")).To(Equal(1))
		Expect(a.Outcome).To(Equal(model.OutcomeFailed))
	})

	It("is answered directly when the other daemon cannot be reached", func() {
		// Guards against a lost daemon that takes the shards of its region along.
		asker, _ := newRegions(nil, nil)
		asker.cut = true
		a, took := asker.pass(context.Background())
		Expect(a.Outcome).To(Equal(model.OutcomeComplete))
		Expect(took).To(BeNumerically("<", routeTarget))
	})
})
