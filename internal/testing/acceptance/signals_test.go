package acceptance_test

import (
	"net/http"
	"os/exec"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a daemon process", func() {
	// exitCode reaps the process in the background. The returned function gives its exit code, or -1 while it runs.
	exitCode := func(daemon *exec.Cmd) func() int {
		exited := make(chan struct{})
		go func() {
			_ = daemon.Wait()
			close(exited)
		}()
		return func() int {
			select {
			case <-exited:
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

	// Guards against a daemon that stops at a SIGTERM without a drain.
	It("drains at the first SIGTERM and exits with code 0", func(ctx SpecContext) {
		daemon, base := newDeployment(ctx).startProcess()
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(readiness(base), "2s").Should(ContainSubstring("draining"))
		resp, err := http.Get(base + "/healthz")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		// Guards against closing an idle connection while its caller sends the next request on it: a draining daemon must
		// announce the close in its response.
		Expect(resp.Close).To(BeTrue())
		Eventually(code, 30*time.Second).Should(Equal(0))
	})

	// Guards against a process that hangs in its drain and that an operator can only kill.
	It("exits at once with code 3 at the second SIGTERM", func(ctx SpecContext) {
		daemon, base := newDeployment(ctx).startProcess()
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(readiness(base), "2s").Should(ContainSubstring("draining"))
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(code, 30*time.Second).Should(Equal(3))
	})
})
