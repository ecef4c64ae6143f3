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
	fine    fault = "fine"
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

type script struct{ faults []fault }

func (s *script) next() fault {
	if len(s.faults) == 0 {
		return fine
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// world is a store and two servers with scripted faults, shared by two daemons.
type world struct {
	mu         sync.Mutex
	now        map[string]platform.Entry
	old        map[string]platform.Entry
	puts, gets script
	serves     script
	runs       map[string]int
	pending    []func()
	daemons    []*daemon
}

type daemon struct {
	*execute.Executor
	dispatcher *dispatch.Dispatcher
	topology   *model.Topology
}

func newWorld() *world {
	w := &world{now: map[string]platform.Entry{}, old: map[string]platform.Entry{}, runs: map[string]int{}}
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

// settle ends the scripted faults and lets delayed effects happen.
func (w *world) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.puts, w.gets, w.serves = script{}, script{}, script{}
	for _, f := range w.pending {
		f()
	}
	w.pending = nil
}

func (w *world) Put(ctx context.Context, key string, v []byte, expect platform.Version, _ platform.LeaseID) (
	platform.Version, error,
) {
	w.mu.Lock()
	f := w.puts.next()
	put := func() bool {
		if w.now[key].Version != expect {
			return false
		}
		w.old[key] = w.now[key]
		w.now[key] = platform.Entry{Key: key, Value: v, Version: expect + 1}
		return true
	}
	ok := true
	switch f {
	case late:
		w.pending = append(w.pending, func() { put() })
	case down, before, slow:
	default:
		ok = put()
	}
	w.mu.Unlock()
	switch f {
	case down:
		return 0, platform.ErrUnavailable
	case slow:
		<-ctx.Done()
		return 0, platform.ErrUnknown
	case before, after, late:
		return 0, platform.ErrUnknown
	case paused:
		time.Sleep(pauseFor)
	default:
	}
	if !ok {
		return 0, platform.ErrConflict
	}
	return expect + 1, nil
}

func (w *world) Get(_ context.Context, key string) (platform.Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.now[key]
	switch w.gets.next() {
	case down:
		return platform.Entry{}, platform.ErrUnavailable
	case stale:
		e = w.old[key]
	default:
	}
	if e.Version == 0 {
		return e, platform.ErrNotFound
	}
	return e, nil
}

func (w *world) Grant(context.Context, time.Duration) (platform.LeaseID, error) { return "lease", nil }
func (w *world) Renew(context.Context, platform.LeaseID) error                  { return nil }
func (w *world) Revoke(context.Context, platform.LeaseID) error                 { return nil }
func (w *world) Delete(context.Context, string, platform.Version) error         { return nil }
func (w *world) List(context.Context, string) ([]platform.Entry, error)         { return nil, nil }
func (w *world) Watch(context.Context, string, platform.Version, time.Duration) (platform.Entry, error) {
	return platform.Entry{}, platform.ErrNotFound
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
	s.w.mu.Lock()
	f := s.w.serves.next()
	run := func() { s.w.runs[req.Key]++ }
	switch f {
	case down, shed, drains, before:
	case late:
		s.w.pending = append(s.w.pending, run)
	default:
		run()
	}
	s.w.mu.Unlock()
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
