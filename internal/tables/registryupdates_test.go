package tables_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/directory"
	"oleandersill.example/oleandersill/internal/decision/gossip"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

var _ = It("a registry passes on the newest version of the configuration, also if an older one was written after it", func() {
	// Guards against a daemon that follows another one and never gets a version, such as one without a removed key.
	r := tables.NewRegistry(time.Second)
	for i, version := range []model.RoutingVersion{1, 3, 2} {
		u := registry.Update{Revision: directory.Revision(i + 1), Routing: model.NewRouting(version, nil, nil, model.CallerLimits{})}
		r.Apply(&u, time.Now(), time.Now())
	}
	Expect(r.AwaitUpdate(context.Background(), gossip.Position{Revision: 1}, 0).Routing.Version).To(BeEquivalentTo(3))
})
