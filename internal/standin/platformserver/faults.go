package platformserver

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin"
)

// Faults holds the active faults. The zero value is a healthy platform.
type Faults struct {
	// Down answers each call with 503 and ends the watches; no call takes effect.
	Down bool
	// Silent accepts calls and never answers them; no call takes effect.
	Silent bool
	// CutOffInstances and CutOffZones name the callers whose calls are not answered, as in a network partition.
	CutOffInstances []model.InstanceID
	CutOffZones     []model.AvailabilityZone
	// Delay is added to each call, before it takes effect.
	Delay time.Duration
	// LostReplies is the fraction of writes, in [0, 1], that take effect and whose connection is closed instead of a
	// reply.
	LostReplies float64
	// StaleBy is the age of the data that reads return; watches return later by the same time.
	StaleBy time.Duration
	// ListLag is the age of the list of instances.
	ListLag time.Duration
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are refused with 429; 0 means no limit. Each
	// call counts once, including a watch that waits.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Kind is a kind of call.
type Kind string

// Kinds of calls.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindWatch     Kind = "watch"
	KindPut       Kind = "put"
	KindDelete    Kind = "delete"
	KindGrant     Kind = "grant"
	KindRenew     Kind = "renew"
	KindRevoke    Kind = "revoke"
	KindInstances Kind = "instances"
)

func (k Kind) isWrite() bool {
	switch k {
	case KindPut, KindDelete, KindGrant, KindRenew, KindRevoke:
		return true
	case KindGet, KindList, KindWatch, KindInstances:
		return false
	}
	return false
}

// Counts holds the counters of one kind of call.
type Counts struct {
	// Calls counts all calls, including refused and unanswered ones.
	Calls int
	// Limited counts the calls that exceeded the rate limit.
	Limited int
	// Unanswered counts the calls left unanswered because of Silent or a cut-off, or because their caller disconnected
	// before they were handled.
	Unanswered int
	// BytesIn and BytesOut are the total sizes of the bodies of requests and of replies.
	BytesIn  int64
	BytesOut int64
}

// faultTable is the shared table of the active faults, the rate limits and the counters.
type faultTable struct {
	mu     lockorder.Mutex
	faults Faults
	counts map[Kind]*Counts
	reads  rateWindow
	writes rateWindow
	rnd    *rand.Rand
}

func newFaultTable(seed uint64) *faultTable {
	return &faultTable{
		mu:     lockorder.New(standin.OrderPlatformFaults),
		counts: map[Kind]*Counts{},
		rnd:    rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // the choice of faults needs no secure random numbers
	}
}

func (t *faultTable) set(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *faultTable) current() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// countCall counts a call and reports whether it is within the rate limit.
func (t *faultTable) countCall(kind Kind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsLocked(kind)
	c.Calls++
	limit, w := t.faults.ReadsPerSecond, &t.reads
	if kind.isWrite() {
		limit, w = t.faults.WritesPerSecond, &t.writes
	}
	if w.allow(limit, now) {
		return true
	}
	c.Limited++
	return false
}

// countUnanswered counts a call that is not answered.
func (t *faultTable) countUnanswered(kind Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countsLocked(kind).Unanswered++
}

// countBytes counts the bytes of a call that has ended.
func (t *faultTable) countBytes(kind Kind, in, out int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsLocked(kind)
	c.BytesIn += in
	c.BytesOut += out
}

// countsLocked returns the counters of a kind; the caller holds the lock.
func (t *faultTable) countsLocked(kind Kind) *Counts {
	if t.counts[kind] == nil {
		t.counts[kind] = &Counts{}
	}
	return t.counts[kind]
}

func (t *faultTable) allCounts() map[Kind]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[Kind]Counts{}
	for kind, c := range t.counts {
		out[kind] = *c
	}
	return out
}

// drawLostReply chooses at random whether the reply to a write is lost.
func (t *faultTable) drawLostReply() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rnd.Float64() < t.faults.LostReplies
}

// ignores reports whether the platform leaves a caller's calls unanswered.
func (f *Faults) ignores(instance model.InstanceID, zone model.AvailabilityZone) bool {
	return f.Silent || slices.Contains(f.CutOffInstances, instance) || slices.Contains(f.CutOffZones, zone)
}

// rateWindow is a fixed-window rate limiter with windows of one second.
type rateWindow struct {
	second int64
	calls  int
}

// allow counts a call and reports whether it is within the limit of the current second; a refused call is not counted.
func (w *rateWindow) allow(limit int, now time.Time) bool {
	if s := now.Unix(); s != w.second {
		w.second, w.calls = s, 0
	}
	if limit > 0 && w.calls >= limit {
		return false
	}
	w.calls++
	return true
}
