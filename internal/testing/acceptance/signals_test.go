package acceptance_test

import (
	"net/http"
	"os/exec"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("signals to a daemon process", func() {
	exitCode := func(daemon *exec.Cmd) func() int {
		ended := make(chan struct{})
		go func() {
			_ = daemon.Wait()
			close(ended)
		}()
		return func() int {
			select {
			case <-ended:
				return daemon.ProcessState.ExitCode()
			default:
				return -1
			}
		}
	}

	readiness := func(base string) func() string {
		return func() string {
			_, body := get(base + "/readyz")
			return body
		}
	}

	It("drain it at the first SIGTERM, and it ends with code 0", func(ctx SpecContext) {
		daemon, base := newSite(ctx).startProcess()
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(readiness(base), "2s").Should(ContainSubstring("draining"))
		resp, err := http.Get(base + "/healthz")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		// Guards against a connection that is closed as idle while its caller sends the next request.
		Expect(resp.Close).To(BeTrue())
		Eventually(code, 30*time.Second).Should(Equal(0))
	})

	// Guards against an operator who cannot end a process that hangs in its drain.
	It("end it at once with code 3 at the second SIGTERM", func(ctx SpecContext) {
		daemon, base := newSite(ctx).startProcess()
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(readiness(base), "2s").Should(ContainSubstring("draining"))
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(code, 30*time.Second).Should(Equal(3))
	})
})
