package execute_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

var suiteT *testing.T

func TestExecute(t *testing.T) {
	suiteT = t
	suite.Run(t, "./internal/command/execute")
}

// inBubble runs a scenario on a virtual clock. Assertions belong outside of it.
func inBubble(scenario func()) { synctest.Test(suiteT, func(*testing.T) { scenario() }) }

// fault is what goes wrong with one call to the store or to a server.
type fault string

const (
	fine    fault = ""
	down    fault = "down"
	before  fault = "lost before the effect"
	after   fault = "lost after the effect"
	late    fault = "lost, and takes effect later"
	slow    fault = "slow beyond the deadline"
	stale   fault = "stale read"
	paused  fault = "daemon paused past its window after the reply"
	shed    fault = "shed"
	drains  fault = "draining"
	crossed fault = "crossed reply"
	failed  fault = "ran and failed"
)

const (
	window   = 2 * time.Second
	deadline = 10 * time.Second
	pauseFor = 3 * time.Second
)

// world is a store and two servers with scripted faults, shared by two daemons.
type world struct {
	*memplatform.Platform
	mu      sync.Mutex
	script  faults
	runs    map[string]int
	pending []func()
	daemons []*daemon
}

// faults are the scripted faults of the next calls; calls beyond them succeed.
type faults struct {
	puts, gets, serves []fault
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) set(f faults) { w.locked(func() { w.script = f }) }

func (w *world) run(key string) { w.locked(func() { w.runs[key]++ }) }

func (w *world) later(effect func()) { w.locked(func() { w.pending = append(w.pending, effect) }) }

func (w *world) ran(key string) (n int) {
	w.locked(func() { n = w.runs[key] })
	return n
}

func (w *world) next(list *[]fault) (f fault) {
	w.locked(func() {
		if len(*list) > 0 {
			f, *list = (*list)[0], (*list)[1:]
		}
	})
	return f
}

// settle ends the scripted faults and lets delayed effects happen.
func (w *world) settle() {
	w.set(faults{})
	var effects []func()
	w.locked(func() { effects, w.pending = w.pending, nil })
	for _, effect := range effects {
		effect()
	}
}

type daemon struct {
	*execute.Executor
	dispatcher *dispatch.Dispatcher
	topology   *model.Topology
}

func newWorld() *world {
	w := &world{Platform: memplatform.New(nil), runs: map[string]int{}}
	for i := range 2 {
		w.daemons = append(w.daemons, newDaemon(w, model.InstanceID(fmt.Sprint("entry-", i))))
	}
	return w
}

func newDaemon(w *world, name model.InstanceID) *daemon {
	t := model.NewTopology(1, model.Inventory{MaxInstances: 2, Services: []model.ServiceSpec{{
		Name: "payouts", Shards: []model.ShardSpec{{Name: "all", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: "ledger-1", Connections: 8}, {Name: "ledger-2", Connections: 8},
		}}},
	}}}, model.Rules{Retry: model.RetryRule{MaxRatio: 10, WindowMs: 10_000, MaxAttempts: 3}})
	config := tables.NewConfig()
	config.Install(t)
	rec := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: w}
	d := dispatch.New(dispatch.Config{Workers: 4, Seed: 1}, config, rec.Servers, rec)
	rec.Admissions, rec.Budgets = d.Admissions, d.Budgets
	rec.Adopt(t, time.Now())
	return &daemon{dispatcher: d, topology: t, Executor: execute.New(execute.Config{
		Dispatcher: d, Executions: tables.NewExecutions(), Claims: &execute.StoreClaims{Store: w}, Instance: name,
		Window: window, Log: zerolog.New(io.Discard),
	})}
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.Close()
		d.dispatcher.Close()
	}
}

func (d *daemon) do(key, body string, first bool) execute.Answer {
	return d.Execute(context.Background(), execute.Request{
		Caller: "c", Service: d.topology.Service("payouts"), Topology: d.topology, Key: key, Body: body,
		Deadline: time.Now().Add(deadline), FirstAttempt: first,
	})
}

// keyAt makes a UUIDv7 of the given time. The uuid package's own generator never goes back, as the virtual clock does.
func keyAt(at time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli())<<16)
	copy(id[:6], ms[:6])
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

func (w *world) Put(ctx context.Context, key string, v []byte, expect platform.Version, l platform.LeaseID) (
	platform.Version, error,
) {
	f := w.next(&w.script.puts)
	put := func() (platform.Version, error) { return w.Platform.Put(context.Background(), key, v, expect, l) }
	switch f {
	case down:
		return 0, platform.ErrUnavailable
	case slow:
		<-ctx.Done()
	case late:
		w.later(func() { _, _ = put() })
	case after:
		_, _ = put()
	case paused:
		defer time.Sleep(pauseFor)
		return put()
	case fine:
		return put()
	default:
	}
	return 0, platform.ErrUnknown
}

func (w *world) Get(ctx context.Context, key string) (platform.Entry, error) {
	switch w.next(&w.script.gets) {
	case down:
		return platform.Entry{}, platform.ErrUnavailable
	case stale:
		w.SetFaults(memplatform.Faults{StaleBy: pauseFor})
		defer w.SetFaults(memplatform.Faults{})
	default:
	}
	return w.Platform.Get(ctx, key)
}

// Connect implements backend.Connector; both servers share the world's script and record of runs.
func (w *world) Connect(*model.Server, int) backend.Server { return server{w: w} }

type server struct {
	backend.Server
	w *world
}

func (s server) Health(context.Context) (backend.Health, error) {
	return backend.Health{Serving: true}, nil
}

func (s server) Execute(ctx context.Context, req backend.ExecuteRequest) backend.ExecuteResult {
	f := s.w.next(&s.w.script.serves)
	switch f {
	case down, shed, drains, before:
	case late:
		s.w.later(func() { s.w.run(req.Key) })
	default:
		s.w.run(req.Key)
	}
	status := map[fault]backend.Status{
		down: backend.StatusUnreachable, shed: backend.StatusShed, drains: backend.StatusDraining,
		before: backend.StatusLost, after: backend.StatusLost, late: backend.StatusLost,
		crossed: backend.StatusMismatched, failed: backend.StatusFailed, slow: backend.StatusLost,
	}[f]
	switch f {
	case slow:
		<-ctx.Done()
	case fine:
		time.Sleep(5 * time.Millisecond)
	default:
	}
	return backend.ExecuteResult{Status: status, Result: "receipt " + req.Body}
}
