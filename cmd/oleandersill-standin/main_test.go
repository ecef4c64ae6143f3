package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/testing/contract"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestStandin(t *testing.T) { suite.Run(t, "./cmd/oleandersill-standin") }

const inventory = `
max_instances: 1
zones: [{name: z1, region: r1}]
services:
  - name: words
    shard_map_epoch: 1
    shards:
      - name: w0
        key_from: 0
        key_to: 65536
        servers: [{name: w0-a, address: "%s", zone: z1, slots: 2, connections: 4}]
`

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("the stand-in process", func() {
	contract.CheckGoroutineLeaks()

	// Guards against a stop that leaves ports open, so that the next start on the same addresses fails.
	It("serves the inventory's servers and the control endpoint, and leaks no listener or goroutine when it stops", func() {
		path := filepath.Join(GinkgoT().TempDir(), "inventory.yaml")
		server, control := freeAddress(), freeAddress()
		Expect(os.WriteFile(path, fmt.Appendf(nil, inventory, server), 0o600)).To(Succeed())
		o, err := parse([]string{"-platform", "127.0.0.1:0", "-control", control, "-inventory", path})
		Expect(err).NotTo(HaveOccurred())
		stop, err := start(o, zerolog.Nop())
		Expect(err).NotTo(HaveOccurred())
		for _, url := range []string{"http://" + control + "/v1/servers/w0-a", "http://" + server + "/v1/health"} {
			resp, err := http.Get(url)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		stop()
		http.DefaultClient.CloseIdleConnections()
		_, err = net.Dial("tcp", server)
		Expect(err).To(HaveOccurred())
	})

	// Guards against stand-ins that start without servers because the inventory is invalid.
	It("does not start with an invalid inventory", func() {
		path := filepath.Join(GinkgoT().TempDir(), "inventory.yaml")
		Expect(os.WriteFile(path, []byte("shards: 3\n"), 0o600)).To(Succeed())
		_, err := start(options{platform: "127.0.0.1:0", inventory: path}, zerolog.Nop())
		Expect(err).To(HaveOccurred())
	})
})
