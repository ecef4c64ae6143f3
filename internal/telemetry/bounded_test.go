package telemetry_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/telemetry"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

var _ = Describe("BoundedWriter", func() {
	It("never blocks when its output does, and logs the number of dropped lines", func() {
		// Guards against requests that are blocked because nobody reads the log.
		out := &blockedWriter{release: make(chan struct{})}
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
