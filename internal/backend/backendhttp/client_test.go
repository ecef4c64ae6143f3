package backendhttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestBackendHTTP(t *testing.T) { suite.Run(t, "./internal/backend/backendhttp") }

var _ = Describe("a backend server over HTTP", func() {
	contract.Backend(func() *contract.BackendHarness {
		server := backendserver.New(contract.BackendConfig())
		DeferCleanup(server.Close)
		Expect(server.Start("127.0.0.1:0")).To(Succeed())
		connector := &backendhttp.Connector{}
		DeferCleanup(connector.Close)
		return &contract.BackendHarness{
			Server: server,
			Connect: func(connections int) backend.Server {
				spec := model.ServerSpec{Name: "a", Address: server.Address()}
				return connector.Connect(&model.Server{ServerSpec: spec}, connections)
			},
			DropIdle: connector.Close,
		}
	})
})
