package main_test

import (
	"net/http"
	"os/exec"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unreachable is an address on which nothing listens.
const unreachable = "127.0.0.1:1"

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

	It("drain it at the first SIGTERM, and it ends with code 0", func() {
		daemon, base := start(unreachable)
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() string { return read(base + "/readyz") }, "2s").Should(ContainSubstring("draining"))
		Expect(get(base + "/healthz")).To(Equal(http.StatusOK))
		Eventually(code, 30*time.Second).Should(Equal(0))
	})

	// Guards against an operator who cannot end a process that hangs in its drain.
	It("end it at once with code 3 at the second SIGTERM", func() {
		daemon, base := start(unreachable)
		code := exitCode(daemon)
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() string { return read(base + "/readyz") }, "2s").Should(ContainSubstring("draining"))
		Expect(daemon.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(code, 30*time.Second).Should(Equal(3))
	})
})
