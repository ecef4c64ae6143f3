package platformserver

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin"
)

// Faults are the faults in force; the zero value is a healthy platform.
type Faults struct {
	// Down answers every call with 503 and ends the watches; nothing takes effect.
	Down bool
	// Silent accepts calls and never answers them; nothing takes effect.
	Silent bool
	// CutOffInstances and CutOffZones name the callers that the platform is silent to.
	CutOffInstances []model.InstanceID
	CutOffZones     []model.AvailabilityZone
	// Delay is added to each call, before it takes effect.
	Delay time.Duration
	// LostReplies is the ratio of writes, in [0, 1], that take effect and whose connection is then cut.
	LostReplies float64
	// StaleBy is the age of what reads show; watches return that much later.
	StaleBy time.Duration
	// ListLag is the age of the list of instances.
	ListLag time.Duration
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are refused with 429; 0 means no limit. Each
	// call counts once, a waiting watch too.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Kind is a kind of call.
type Kind string

// The kinds of calls.
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

// Counts states the calls of one kind.
type Counts struct {
	// Calls counts all calls, the refused and unanswered ones included.
	Calls int
	// Limited counts the calls refused for their rate.
	Limited int
	// Unanswered counts the calls that the platform was silent to.
	Unanswered int
	// BytesIn and BytesOut are the sizes of the bodies of requests and replies.
	BytesIn  int64
	BytesOut int64
}

// faultTable is the table of the faults in force, the rate limits and the counters.
type faultTable struct {
	mu     lockorder.Mutex
	faults Faults
	counts map[Kind]*Counts
	reads  window
	writes window
	rnd    *rand.Rand
}

func newFaultTable(seed uint64) *faultTable {
	return &faultTable{
		mu:     lockorder.New(standin.OrderPlatformFaults),
		counts: map[Kind]*Counts{},
		rnd:    rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // fault draws need no secrecy
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

// arrive counts a call and tells whether it is within the rate.
func (t *faultTable) arrive(kind Kind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(kind)
	c.Calls++
	limit, w := t.faults.ReadsPerSecond, &t.reads
	if kind.isWrite() {
		limit, w = t.faults.WritesPerSecond, &t.writes
	}
	if w.take(limit, now) {
		return true
	}
	c.Limited++
	return false
}

// abandon counts a call that is never answered.
func (t *faultTable) abandon(kind Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(kind).Unanswered++
}

// leave counts the bytes of a call that has ended.
func (t *faultTable) leave(kind Kind, in, out int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(kind)
	c.BytesIn += in
	c.BytesOut += out
}

func (t *faultTable) of(kind Kind) *Counts {
	if t.counts[kind] == nil {
		t.counts[kind] = &Counts{}
	}
	return t.counts[kind]
}

func (t *faultTable) snapshot() map[Kind]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[Kind]Counts{}
	for kind, c := range t.counts {
		out[kind] = *c
	}
	return out
}

// loseReply draws whether the reply of a write is lost.
func (t *faultTable) loseReply() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rnd.Float64() < t.faults.LostReplies
}

// ignores tells whether the platform is silent to a caller.
func (f *Faults) ignores(instance model.InstanceID, zone model.AvailabilityZone) bool {
	return f.Silent || slices.Contains(f.CutOffInstances, instance) || slices.Contains(f.CutOffZones, zone)
}

// window counts calls in seconds of the clock.
type window struct {
	second int64
	used   int
}

func (w *window) take(limit int, now time.Time) bool {
	if s := now.Unix(); s != w.second {
		w.second, w.used = s, 0
	}
	if limit > 0 && w.used >= limit {
		return false
	}
	w.used++
	return true
}
