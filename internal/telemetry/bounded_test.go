package telemetry_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/telemetry"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

var _ = Describe("BoundedWriter", func() {
	It("never blocks on output that is stuck, and says how much it dropped", func() {
		// Guards against requests that wait for a log nobody reads.
		out := &stuckWriter{release: make(chan struct{})}
		w := telemetry.NewBoundedWriter(out)
		begin := time.Now()
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
		close(out.release)
		w.Close()
		Expect(strings.Count(out.String(), "line\n")).To(BeNumerically("<", 2000))
		Expect(out.String()).To(MatchRegexp(`event=log_lines_dropped lines=\d+`))
	})
})
