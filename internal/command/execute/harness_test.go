package execute_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/scripted"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestExecute(t *testing.T) { suite.Run(t, "./internal/command/execute") }

const (
	window   = 2 * time.Second
	deadline = 10 * time.Second
)

// Short names of the scripted faults, for tables of tests.
const (
	fine, down, lostBefore, lostAfter = scripted.NoFault, scripted.Down, scripted.LostBeforeEffect, scripted.LostAfterEffect
	late, slow, stale, paused         = scripted.DelayedEffect, scripted.Slow, scripted.StaleRead, scripted.Paused
	shed, drains                      = scripted.Shed, scripted.Draining
	crossed, failed                   = scripted.CrossedReply, scripted.Failed
)

type (
	faults    = scripted.Script
	faultList = []scripted.Fault
)

// cluster is two daemons that share a scripted store and scripted backend servers.
type cluster struct {
	*scripted.Environment
	daemons []*daemon
}

type daemon struct {
	*execute.Executor
	dispatcher *dispatch.Dispatcher
	topology   *model.Topology
}

func newCluster() *cluster {
	cl := &cluster{Environment: scripted.New()}
	for i := range 2 {
		cl.daemons = append(cl.daemons, newDaemon(cl, model.InstanceID(fmt.Sprint("entry-", i))))
	}
	return cl
}

func newDaemon(cl *cluster, name model.InstanceID) *daemon {
	t := model.NewTopology(1, model.Inventory{MaxInstances: 2, Services: []model.ServiceSpec{{
		Name: "payouts", Shards: []model.ShardSpec{{Name: "all", KeyTo: model.KeySpace, Servers: []model.ServerSpec{
			{Name: "ledger-1", Connections: 8}, {Name: "ledger-2", Connections: 8},
		}}},
	}}}, model.Rules{Retry: model.RetryRule{MaxRatio: 10, WindowMs: 10_000, MaxAttempts: 3}})
	config := tables.NewConfig()
	config.Install(t)
	rec := &report.Recorder{Config: config, Servers: tables.NewServers(), Connector: cl}
	d := dispatch.New(dispatch.Config{Workers: 4, Seed: 1}, config, rec.Servers, rec)
	rec.Admissions, rec.Budgets = d.Admissions, d.Budgets
	rec.ApplyTopology(t, time.Now())
	return &daemon{dispatcher: d, topology: t, Executor: execute.New(execute.Config{
		Dispatcher: d, Executions: tables.NewExecutions(), Claims: &execute.PlatformClaimStore{Store: cl}, Instance: name,
		Window: window, Log: zerolog.New(io.Discard),
	})}
}

func (cl *cluster) close() {
	for _, d := range cl.daemons {
		d.Close()
		d.dispatcher.Close()
	}
}

// send sends a request and waits for its response.
func (d *daemon) send(key, body string, first bool) execute.Response {
	return d.Execute(context.Background(), execute.Request{
		Caller: "c", Service: d.topology.Service("payouts"), Topology: d.topology, Key: key, Body: body,
		Deadline: time.Now().Add(deadline), FirstAttempt: first,
	})
}

// keyAt makes a UUIDv7 of the given time. The timestamps of package uuid's generator never decrease, but the virtual
// clock of each test starts at the same time.
func keyAt(at time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli())<<16)
	copy(id[:6], ms[:6])
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}
