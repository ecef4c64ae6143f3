package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/testing/fakebackend"
)

var _ = DescribeTable("a forwarded attempt of a workspace",
	func(requesterKeys, ownerKeys []model.KeyDigest, batches, sent int) {
		// Guards against attempts that are sent for a key that was removed, and ranks and workspaces that are lost on the way.
		requester, owner := newPair(fakebackend.Script{})
		for n, keys := range map[*node][]model.KeyDigest{requester: requesterKeys, owner: ownerKeys} {
			t := model.NewTopology(2, n.Config.Current().Inventory, model.Rules{})
			t.Routing = model.NewRouting(1, nil, nil, model.CallerLimits{}).WithWorkspaces([]model.Workspace{{Name: "a", Keys: keys}})
			n.Config.Install(t)
		}
		owner.received = make(chan forwarding.Batch, 10)
		results := make(chan backend.QueryResult, 1)
		q := requester.newAttempt(1, model.RankDeferred, func(r backend.QueryResult) { results <- r })
		q.Policy = &model.RequestPolicy{Workspace: "a", Key: model.Digest("k"), Rank: model.RankDeferred}
		// The fixture's owner supports no workspaces, so that it is chosen explicitly.
		q.ForwardTo = owner.self
		// The fixture has no budget, which would be charged before an attempt that is not permitted.
		q.Charge = float64(1 - sent)
		requester.StartQueries(GinkgoT().Context(), []*dispatch.QueryAttempt{q}, time.Now())
		status := backend.StatusBusy
		if sent > 0 {
			status = backend.StatusOK
		}
		Eventually(results).Should(Receive(HaveField("Status", status)))
		Expect(owner.connector.Queries(serverName)).To(Equal(sent))
		Expect(owner.received).To(HaveLen(batches))
		if batches > 0 {
			query := (<-owner.received).Queries[0]
			Expect([]any{query.Rank, query.Workspace}).To(Equal([]any{model.RankDeferred, model.WorkspaceName("a")}))
		}
	},
	Entry("is sent", []model.KeyDigest{model.Digest("k")}, []model.KeyDigest{model.Digest("k")}, 1, 1),
	Entry("is not forwarded once its key was removed", []model.KeyDigest{model.Digest("other")}, []model.KeyDigest{model.Digest("k")}, 0, 0),
	Entry("is not sent by a daemon that knows no key of the workspace", []model.KeyDigest{model.Digest("k")}, nil, 1, 0),
)
