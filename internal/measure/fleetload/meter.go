package fleetload

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// meter measures the rates of one phase from the counter values at its start.
type meter struct {
	fleet    *fleet
	begin    time.Time
	cpu      float64
	calls    int
	sent     int64
	received int64
	peak     chan int
	cancel   context.CancelFunc
}

// peakInterval is the interval over which store calls are counted to find their peak rate.
const peakInterval = time.Second

func (f *fleet) startMeter() *meter {
	ctx, cancel := context.WithCancel(context.Background())
	m := &meter{fleet: f, begin: time.Now(), cpu: cpuSeconds(), calls: f.storeCallCount(), peak: make(chan int, 1), cancel: cancel}
	m.sent, m.received = f.traffic()
	go func() { m.peak <- f.peakStoreCalls(ctx) }()
	return m
}

// peakStoreCalls counts the store calls in each interval until ctx ends, and returns the highest count.
func (f *fleet) peakStoreCalls(ctx context.Context) int {
	ticker := time.NewTicker(peakInterval)
	defer ticker.Stop()
	peak, before := 0, f.storeCallCount()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return max(peak, f.storeCallCount()-before)
		}
		now := f.storeCallCount()
		peak = max(peak, now-before)
		before = now
	}
}

// fill stops the meter and sets the row's rates.
func (m *meter) fill(r *Row) {
	m.cancel()
	r.PeakStoreCalls = <-m.peak
	seconds := time.Since(m.begin).Seconds()
	n := float64(len(m.fleet.members))
	sent, received := m.fleet.traffic()
	r.Daemons, r.Zones, r.DurationS = len(m.fleet.members), m.fleet.zones, seconds
	r.StoreCalls = float64(m.fleet.storeCallCount()-m.calls) / seconds
	r.SentBytes = float64(sent-m.sent) / seconds / n
	r.ReceivedBytes = float64(received-m.received) / seconds / n
	r.CPUPercent = (cpuSeconds() - m.cpu) / seconds / n * 100
	r.Relays = m.fleet.relays()
}

func (f *fleet) traffic() (sent, received int64) {
	for _, m := range f.members {
		s, r := m.traffic()
		sent += s
		received += r
	}
	return sent, received
}

// memoryMB returns the size of the live heap and the stacks of the process, in MiB.
func memoryMB() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / (1 << 20)
}

// cpuSeconds returns the CPU time that the process has used in user and kernel mode, in seconds.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("fleetload: getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
