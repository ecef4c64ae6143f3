package telemetry_test

import (
	"bytes"
	"regexp"
	"strconv"
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

	It("counts each line as written or dropped, also those that are dropped last", func() {
		// Guards against a log that ends with lines missing and does not say so.
		const lines = 5000
		var out bytes.Buffer
		w := telemetry.NewBoundedWriter(&out)
		for range lines {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		counted := strings.Count(out.String(), "line\n")
		for _, match := range regexp.MustCompile(`lines=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
			n, err := strconv.Atoi(match[1])
			Expect(err).NotTo(HaveOccurred())
			counted += n
		}
		Expect(counted).To(Equal(lines))
	})
})
