package intake_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/decision/intake"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestIntake(t *testing.T) { suite.Run(t, "./internal/decision/intake") }

var start = time.Unix(1000, 0)

// full returns a budget whose connections take all of its places, each in the given phase for a second longer than the next one.
func full(phases ...intake.Phase) (*intake.Budget, []*intake.Conn) {
	b := intake.NewBudget(intake.Limits{Bytes: int64(len(phases)) * 1000, Conns: len(phases), ConnBytes: 100})
	var conns []*intake.Conn
	for i, p := range phases {
		c := &intake.Conn{}
		at := start.Add(time.Duration(i) * time.Second)
		_, _, opened := b.Open(c, at)
		Expect(opened).To(BeTrue())
		Expect(b.Enter(c, p, at)).To(BeTrue())
		conns = append(conns, c)
	}
	return b, conns
}

const later = time.Minute

var _ = DescribeTable("a new connection to a full port replaces",
	// Guards against closing the connection of an ordinary caller while those of misbehaving ones remain.
	func(want int, phases ...intake.Phase) {
		b, conns := full(phases...)
		closed, cause, opened := b.Open(&intake.Conn{}, start.Add(later))
		if want < 0 {
			Expect(opened).To(BeFalse())
			Expect(closed).To(BeEmpty())
			return
		}
		Expect(opened).To(BeTrue())
		Expect(closed).To(HaveExactElements(BeIdenticalTo(conns[want])))
		Expect(cause.String()).To(Equal("connections"))
	},
	Entry("one whose request was refused first", 2, intake.Receiving, intake.Idle, intake.Refused, intake.Sending),
	Entry("the one that is idle longest", 1, intake.Receiving, intake.Idle, intake.Idle),
	Entry("the one whose request is incomplete longest", 1, intake.Serving, intake.Receiving, intake.Receiving),
	Entry("an incomplete request before a slow reader", 1, intake.Sending, intake.Receiving),
	Entry("a slow reader before a request that is served", 1, intake.Serving, intake.Sending),
	Entry("none that serves a request", -1, intake.Serving, intake.Serving),
)

var _ = Describe("the decision which connections are closed", func() {
	It("leaves a new connection time for its first request", func() {
		// Guards against new connections that replace each other while incomplete requests keep all other places.
		b, conns := full(intake.Receiving, intake.Idle)
		closed, _, opened := b.Open(&intake.Conn{}, start.Add(1500*time.Millisecond))
		Expect(opened).To(BeTrue())
		Expect(closed).To(HaveExactElements(BeIdenticalTo(conns[0])))
	})

	It("does not count a response as slow at once", func() {
		// Guards against cutting off a response that is being read at full speed.
		b, conns := full(intake.Serving)
		b.Enter(conns[0], intake.Sending, start.Add(later))
		b.Moved(conns[0], 1<<20)
		_, _, opened := b.Open(&intake.Conn{}, start.Add(later+3*time.Second))
		Expect(opened).To(BeFalse())
	})

	It("prefers the request that arrives slowest when memory is needed", func() {
		// Guards against giving up a large request that arrives fast in favor of one that has stopped.
		b, conns := full(intake.Receiving, intake.Receiving, intake.Serving, intake.Idle)
		now := start.Add(later)
		b.Moved(conns[0], 64<<20)
		closed, fits := b.Hold(conns[2], 3650, now)
		Expect(fits).To(BeTrue())
		Expect(closed).To(HaveExactElements(BeIdenticalTo(conns[1])))
	})

	It("refuses the request that is itself furthest behind", func() {
		// Guards against closing requests that arrive fast in favor of a slow one.
		b, conns := full(intake.Receiving, intake.Receiving)
		closed, fits := b.Hold(conns[0], 1850, start.Add(later))
		Expect(fits).To(BeFalse())
		Expect(closed).To(BeEmpty())
	})

	It("closes none for what would never fit", func() {
		// Guards against closing all connections for a single oversized request.
		b, conns := full(intake.Receiving, intake.Receiving)
		closed, fits := b.Hold(conns[1], 1<<30, start.Add(later))
		Expect(fits).To(BeFalse())
		Expect(closed).To(BeEmpty())
	})

	It("passes on no request whose connection was closed", func() {
		// Guards against running a request after its connection was given up.
		b, conns := full(intake.Receiving)
		b.Close(conns[0])
		Expect(b.Enter(conns[0], intake.Serving, start)).To(BeFalse())
		Expect(b.HeldBytes()).To(BeZero())
	})
})

// Guards against memory or connections above the limits, reservations that are never released, and closing a request that is served,
// in any order of events.
func TestBudgetKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := intake.Limits{Bytes: 5000, Conns: 8, ConnBytes: 100}
		b := intake.NewBudget(limits)
		open, phases, held := []*intake.Conn{}, map[*intake.Conn]intake.Phase{}, map[*intake.Conn]int64{}
		now := start
		remove := func(closed []*intake.Conn) {
			for _, c := range closed {
				if phases[c] == intake.Serving {
					rt.Fatal("a request that is served was closed")
				}
				for i := range open {
					if open[i] == c {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
				delete(held, c)
			}
		}
		pick := func() *intake.Conn { return rapid.SampledFrom(open).Draw(rt, "conn") }
		steps := rapid.IntRange(1, 200).Draw(rt, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 4).Draw(rt, "action")
			switch {
			case action == 0 || len(open) == 0:
				c := &intake.Conn{}
				closed, _, opened := b.Open(c, now)
				remove(closed)
				if opened {
					open, phases[c], held[c] = append(open, c), intake.Idle, limits.ConnBytes
				}
			case action == 1:
				c, bytes := pick(), rapid.Int64Range(0, 6000).Draw(rt, "bytes")
				closed, fits := b.Hold(c, bytes, now)
				remove(closed)
				if fits {
					held[c] = limits.ConnBytes + bytes
				}
			case action == 2:
				c := pick()
				phases[c] = intake.Phase(rapid.IntRange(0, int(intake.Refused)).Draw(rt, "phase"))
				b.Enter(c, phases[c], now)
				if phases[c] == intake.Idle {
					held[c] = limits.ConnBytes
				}
			case action == 3:
				b.Moved(pick(), rapid.Int64Range(0, 1<<20).Draw(rt, "moved"))
			default:
				c := pick()
				b.Close(c)
				phases[c] = intake.Idle
				remove([]*intake.Conn{c})
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if b.HeldBytes() != sum || sum > limits.Bytes || b.Conns() != len(open) || len(open) > limits.Conns {
				rt.Fatalf("%d bytes held of %d expected, %d connections of %d", b.HeldBytes(), sum, b.Conns(), len(open))
			}
		}
	})
}

var _ = DescribeTable("a header section is counted without separators, however it arrives",
	// Guards against cutting off requests that the configuration's limit allows.
	func(section string, bytes, lines int, ended bool) {
		for _, size := range []int{1, 3, 1000} {
			var m intake.HeaderMeter
			for rest := section; rest != ""; rest = rest[min(size, len(rest)):] {
				m.Count([]byte(rest[:min(size, len(rest))]))
			}
			Expect([]int{m.Bytes, m.Lines}).To(Equal([]int{bytes, lines}))
			Expect(m.Ended).To(Equal(ended))
		}
	},
	Entry("fields", "AB: c\r\nD:ef:g\r\n", 8, 2, false),
	Entry("spaces before a value", "AB:  \t  c\r\n", 3, 1, false),
	Entry("a body after the end", "A: b\r\n\r\n"+strings.Repeat("x", 50), 2, 1, true),
	Entry("lines that end without a carriage return", "A: b\n\n", 2, 1, true),
)

var _ = DescribeTable("the shares of memory and descriptors fit into their limits",
	// Guards against shares that together exceed what the process has, and against too few connections for callers.
	func(memoryMB int64, descriptors, minCallers int) {
		s := intake.Divide(memoryMB<<20, descriptors)
		Expect(s.CallerBytes + s.ReplyBytes + s.PeerBytes).To(BeNumerically("<=", s.RuntimeBytes*3/4))
		Expect(s.RuntimeBytes).To(BeNumerically("<", memoryMB<<20*3/4))
		Expect(s.CallerConns).To(BeNumerically(">=", minCallers))
		Expect(int64(s.CallerConns) * intake.ConnBytes).To(BeNumerically("<=", s.CallerBytes*3/4))
		Expect(s.CallerConns + s.PeerConns + s.ReadyConns + s.MetricsConns).To(BeNumerically("<", descriptors))
	},
	Entry("smallest instances", int64(184), 4100, 1000),
	Entry("little of both", int64(64), 400, 50),
	Entry("larger instances", int64(284), 4100, 1500),
)
