package backendserver_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestBackendServer(t *testing.T) { suite.Run(t, "./internal/standin/backendserver") }

var _ = Describe("the stand-in of a backend server", func() {
	It("answers again on its address after a crash, with the items of its shard", func() {
		s := backendserver.New(backendserver.Config{Shard: "s1", Epoch: 3, Version: 7, Slots: 2, Items: 50})
		DeferCleanup(s.Close)
		Expect(s.Start("127.0.0.1:0")).To(Succeed())
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		client := connector.Connect(&model.Server{ServerSpec: model.ServerSpec{Name: "a", Address: s.Address()}}, 2)
		request := backend.QueryRequest{
			ID:    backend.AttemptID{Request: "d1-1-1", Incarnation: 1, Attempt: 1},
			Shard: "s1", Epoch: 3, Text: "tea", Limit: 5, Deadline: time.Now().Add(time.Minute),
		}
		s.Crash()
		Expect(client.Query(context.Background(), request).Status).To(Equal(backend.StatusUnreachable))
		Expect(s.Restart()).To(Succeed())
		result := client.Query(context.Background(), request)
		Expect(result.Status).To(Equal(backend.StatusOK))
		Expect(result.Reply.Items).To(Equal(backendserver.Generate(
			backendserver.Content{Shard: "s1", Epoch: 3, Version: 7, Text: "tea", Items: 50}, 5)))
		Expect(s.Record().Queries()).To(HaveLen(1))
	})
})
