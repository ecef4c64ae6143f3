package pause_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oleandersill.example/oleandersill/internal/decision/pause"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestPause(t *testing.T) { suite.Run(t, "./internal/decision/pause") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Detector", func() {
	// tickUntil ticks as a process does that runs until the given time after the start.
	tickUntil := func(d *pause.Detector, end time.Duration) {
		for at := time.Duration(0); at <= end; at += pause.TickInterval {
			d.Tick(start.Add(at))
		}
	}

	It("holds no message to be late while the process runs, also with ticks that come late", func() {
		// Guards against refusing messages because the machine is busy.
		d := pause.NewDetector(start)
		tickUntil(&d, time.Second)
		Expect(d.Held(start.Add(time.Second + pause.TickInterval))).To(BeZero())
		d.Tick(start.Add(time.Second + pause.TickInterval*3/2))
		Expect(d.Held(start.Add(time.Second + pause.TickInterval*2))).To(BeZero())
	})

	It("returns the length of the pause for what is read just after it, before and after the first tick", func() {
		// Guards against trusting the remaining time of a message that waited while the process was stopped.
		const length = 4 * time.Second
		d := pause.NewDetector(start)
		tickUntil(&d, time.Second)
		resumed := start.Add(time.Second + length)
		Expect(d.Held(resumed)).To(Equal(length))
		d.Tick(resumed)
		Expect(d.Held(resumed.Add(10 * time.Millisecond))).To(Equal(length))
		Expect(d.Held(resumed.Add(pause.TickInterval))).To(Equal(length))
	})

	It("returns 0 again soon after the pause", func() {
		// Guards against a daemon that refuses the work of others long after it was paused.
		d := pause.NewDetector(start)
		d.Tick(start.Add(10 * time.Second))
		d.Tick(start.Add(10*time.Second + pause.TickInterval))
		Expect(d.Held(start.Add(10*time.Second + 2*pause.TickInterval - time.Millisecond))).To(BeZero())
	})
})
