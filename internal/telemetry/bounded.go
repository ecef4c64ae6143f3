package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// boundedLines is the number of lines that may wait to be written.
	boundedLines = 1024
	// linesPerSecond bounds what is written; more is dropped and counted, so that a flood of requests is not slowed down by
	// the lines about it.
	linesPerSecond = 400
	// lineBurst is the number of lines that may be written at once after a quiet time.
	lineBurst = 800
)

// BoundedWriter writes lines in the background and never blocks: what comes faster than it can be written, or than the bound
// allows, is dropped, and a line says how much was. Create it with NewBoundedWriter.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, boundedLines)}
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

// Close writes what waits. Nothing may be written afterwards.
func (w *BoundedWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *BoundedWriter) run(out io.Writer) {
	notice := NewLogger(out, zerolog.WarnLevel)
	allowance, last := float64(lineBurst), time.Now()
	for line := range w.lines {
		now := time.Now()
		allowance = min(lineBurst, allowance+now.Sub(last).Seconds()*linesPerSecond)
		last = now
		if allowance < 1 {
			w.dropped.Add(1)
			continue
		}
		allowance--
		if n := w.dropped.Swap(0); n > 0 {
			notice.Warn().Uint64("lines", n).Msg("log_lines_dropped")
		}
		// There is nowhere to report that a log line cannot be written.
		_, _ = out.Write(line)
	}
}
