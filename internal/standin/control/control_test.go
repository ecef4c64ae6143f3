package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/standin/control"
	"oleandersill.example/oleandersill/internal/standin/site"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestControl(t *testing.T) { suite.Run(t, "./internal/standin/control") }

var inventory = model.Inventory{
	Zones: []model.ZoneSpec{{Name: "z1", Region: "r1"}},
	Services: []model.ServiceSpec{{Name: "words", ShardMapEpoch: 1, Shards: []model.ShardSpec{{
		Name: "w0", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: "w0-a", Address: "127.0.0.1:0", Zone: "z1", Slots: 2, Connections: 4, ConnectionCostMs: 1},
			{Name: "w0-b", Address: "127.0.0.1:0", Zone: "z1", Slots: 2, Connections: 4, Leaving: true},
		},
	}}}},
}

var _ = Describe("the control API of a site", func() {
	contract.CheckGoroutineLeaks()
	var (
		s        *site.Site
		client   backend.Server
		deadline = time.Now().Add(time.Hour)
	)
	BeforeEach(func() {
		var err error
		s, err = site.Start(site.Config{PlatformAddress: "127.0.0.1:0", Inventory: inventory})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		spec := model.ServerSpec{Name: "w0-a", Address: s.Server("w0-a").Address()}
		client = connector.Connect(&model.Server{ServerSpec: &spec}, 2)
	})
	send := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler := control.New(s, zerolog.Nop())
		handler.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader([]byte(body))))
		return w
	}
	query := func(attempt uint32) backend.Status {
		return client.Query(context.Background(), backend.QueryRequest{
			ID:    backend.AttemptID{Request: "d1-1-1", Incarnation: 1, Attempt: attempt},
			Shard: "w0", Epoch: 1, Deadline: deadline,
		}).Status
	}

	// Guards against a fault that the API accepts but does not pass on to the server, or passes on to another server.
	DescribeTable("sets faults of a server, which its clients observe",
		func(method, path, body string, want backend.Status) {
			Expect(query(1)).To(Equal(backend.StatusOK))
			Expect(send(method, path, body).Code).To(Equal(http.StatusOK))
			Expect(query(2)).To(Equal(want))
		},
		Entry("drain", "PUT", "/v1/servers/w0-a/faults", `{"draining":true}`, backend.StatusDraining),
		Entry("lost reply", "PUT", "/v1/servers/w0-a/faults", `{"lost_replies":1}`, backend.StatusLost),
		Entry("another shard", "PUT", "/v1/servers/w0-a/shard", `{"shard":"w1","shard_map_epoch":2}`,
			backend.StatusVersionNotHeld),
		Entry("a fault of the other server", "PUT", "/v1/servers/w0-b/faults", `{"draining":true}`, backend.StatusOK),
	)

	// Guards against a restart that is reported as done although the server had not crashed, and against counting a
	// request that was sent to a crashed server as an execution.
	It("crashes and restarts a server, and counts the executions", func() {
		Expect(send("POST", "/v1/servers/w0-a/crash", "").Code).To(Equal(http.StatusOK))
		Expect(query(1)).To(Equal(backend.StatusUnreachable))
		Expect(send("POST", "/v1/servers/w0-a/restart", "").Code).To(Equal(http.StatusOK))
		Expect(send("POST", "/v1/servers/w0-a/restart", "").Code).To(Equal(http.StatusConflict))
		Expect(query(2)).To(Equal(backend.StatusOK))
		var executions control.Executions
		Expect(json.Unmarshal(send("GET", "/v1/executions", "").Body.Bytes(), &executions)).To(Succeed())
		Expect(executions.Started).To(Equal(1))
	})

	// Guards against an experiment that silently runs without a fault because its name was misspelt.
	DescribeTable("rejects unknown faults and servers",
		func(path, body string, want int) { Expect(send("PUT", path, body).Code).To(Equal(want)) },
		Entry("a misspelt fault", "/v1/servers/w0-a/faults", `{"drainning":true}`, http.StatusBadRequest),
		Entry("an unknown server", "/v1/servers/w9/faults", `{}`, http.StatusNotFound),
		Entry("a misspelt platform fault", "/v1/platform/faults", `{"dwon":true}`, http.StatusBadRequest),
	)

	// Guards against leaving servers that are listed as live, and against platform faults that have no effect.
	It("lists the inventory's servers and sets faults of the platform", func(ctx SpecContext) {
		p := platformhttp.New(s.PlatformAddress())
		DeferCleanup(p.Close)
		list, err := p.Instances(ctx, platform.InstanceQuery{State: platform.InstanceLeaving})
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(ConsistOf(HaveField("Name", "w0-b")))
		Expect(send("PUT", "/v1/platform/faults", `{"down":true}`).Code).To(Equal(http.StatusOK))
		_, err = p.Get(ctx, "k")
		Expect(err).To(MatchError(platform.ErrUnavailable))
	})
})
