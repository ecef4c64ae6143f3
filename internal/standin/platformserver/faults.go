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

// desk is the table of the faults in force, the rate limits and the counters.
type desk struct {
	mu     lockorder.Mutex
	faults Faults
	counts map[Kind]*Counts
	reads  window
	writes window
	rnd    *rand.Rand
}

func newDesk(seed uint64) *desk {
	return &desk{
		mu:     lockorder.New(standin.OrderPlatformFaults),
		counts: map[Kind]*Counts{},
		rnd:    rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // fault draws need no secrecy
	}
}

func (d *desk) set(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

func (d *desk) current() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// arrive counts a call and tells whether it is within the rate.
func (d *desk) arrive(kind Kind, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(kind)
	c.Calls++
	limit, w := d.faults.ReadsPerSecond, &d.reads
	if kind.isWrite() {
		limit, w = d.faults.WritesPerSecond, &d.writes
	}
	if w.take(limit, now) {
		return true
	}
	c.Limited++
	return false
}

// abandon counts a call that is never answered.
func (d *desk) abandon(kind Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(kind).Unanswered++
}

// leave counts the bytes of a call that has ended.
func (d *desk) leave(kind Kind, in, out int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(kind)
	c.BytesIn += in
	c.BytesOut += out
}

func (d *desk) of(kind Kind) *Counts {
	if d.counts[kind] == nil {
		d.counts[kind] = &Counts{}
	}
	return d.counts[kind]
}

func (d *desk) snapshot() map[Kind]Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[Kind]Counts{}
	for kind, c := range d.counts {
		out[kind] = *c
	}
	return out
}

// loseReply draws whether the reply of a write is lost.
func (d *desk) loseReply() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rnd.Float64() < d.faults.LostReplies
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
