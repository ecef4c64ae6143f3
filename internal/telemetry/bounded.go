package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines is the number of lines that may be queued for writing.
	maxQueuedLines = 1024
	// linesPerSecond is the maximum rate of written lines. Lines above it are dropped and counted, so that logging does not
	// slow down the handling of requests under overload.
	linesPerSecond = 400
	// lineBurst is the number of lines that may be written at once after a period with few lines.
	lineBurst = 800
)

// BoundedWriter writes lines in the background and never blocks its callers. It drops lines that arrive faster than they can
// be written or than the rate limit allows, and logs the number of dropped lines. Create it with NewBoundedWriter.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewBoundedWriter returns a BoundedWriter that writes to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
	w.done.Go(func() { w.run(out) })
	return w
}

// Write implements io.Writer for one line. It keeps no reference to line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
func (w *BoundedWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

// run writes the queued lines, limited by a token bucket.
func (w *BoundedWriter) run(out io.Writer) {
	logger := NewLogger(out, zerolog.WarnLevel)
	tokens, last := float64(lineBurst), time.Now()
	for line := range w.lines {
		now := time.Now()
		tokens = min(lineBurst, tokens+now.Sub(last).Seconds()*linesPerSecond)
		last = now
		if tokens < 1 {
			w.dropped.Add(1)
			continue
		}
		tokens--
		w.logDropped(logger)
		// A failure to write to the log cannot be reported anywhere.
		_, _ = out.Write(line)
	}
	w.logDropped(logger)
}

// logDropped logs the number of lines that were dropped since its last call, if there are any.
func (w *BoundedWriter) logDropped(logger zerolog.Logger) {
	if n := w.dropped.Swap(0); n > 0 {
		logger.Warn().Uint64("lines", n).Msg("log_lines_dropped")
	}
}
