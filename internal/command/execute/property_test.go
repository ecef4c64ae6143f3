package execute_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// TestAtMostOnce drives two daemons with random faults of the store and the servers, and random pauses. It guards
// against a second run of a key, a false not_run and a false complete.
func TestAtMostOnce(t *testing.T) {
	lockorder.EnableCheck()
	synctest.Test(t, func(t *testing.T) {
		// rapid asks a *testing.T for its deadline, which a bubble does not allow.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &machine{world: newWorld(), mayHaveRun: map[string]bool{}}
			defer m.world.close()
			m.keys = []string{keyAt(time.Now()), keyAt(time.Now()), keyAt(time.Now())}
			rt.Repeat(map[string]func(*rapid.T){
				"request":        m.request,
				"two at a time":  m.race,
				"delayed effect": func(*rapid.T) { m.world.Settle() },
			})
		})
	})
}

type machine struct {
	world *world
	keys  []string
	// mayHaveRun is what a caller knows: whether an answer other than not_run was given.
	mayHaveRun map[string]bool
}

func (m *machine) request(t *rapid.T) {
	key := m.draw(t)
	first := !m.mayHaveRun[key]
	a := m.world.daemons[rapid.IntRange(0, 1).Draw(t, "daemon")].do(key, "b", first)
	m.check(t, key, a, false)
}

// race sends one key through both daemons at a time; neither is a first attempt, since the caller sends two.
func (m *machine) race(t *rapid.T) {
	key := m.draw(t)
	var answers [2]execute.Response
	ended := make(chan struct{})
	for i, d := range m.world.daemons {
		go func() {
			answers[i] = d.do(key, "b", false)
			ended <- struct{}{}
		}()
	}
	<-ended
	<-ended
	for _, a := range answers {
		m.check(t, key, a, true)
	}
}

func (m *machine) draw(t *rapid.T) string {
	storeFaults := rapid.SampledFrom(list{fine, fine, down, before, after, late, slow, paused})
	readFaults := rapid.SampledFrom(list{fine, down, stale})
	serverFaults := rapid.SampledFrom(list{fine, fine, down, before, after, late, slow, shed, drains, crossed, failed})
	m.world.Set(faults{
		Puts:     rapid.SliceOfN(storeFaults, 0, 6).Draw(t, "store"),
		Gets:     rapid.SliceOfN(readFaults, 0, 4).Draw(t, "reads"),
		Requests: rapid.SliceOfN(serverFaults, 0, 3).Draw(t, "servers"),
	})
	return rapid.SampledFrom(m.keys).Draw(t, "key")
}

// check compares an answer with the servers' record. After not_run was told, a request that was sent at the same time may
// have taken the released claim over.
func (m *machine) check(t *rapid.T, key string, a execute.Response, racing bool) {
	runs := m.world.Runs(key)
	if runs > 1 {
		t.Fatalf("%d runs", runs)
	}
	if a.Outcome == model.OutcomeNotRun && runs != 0 && !racing {
		t.Fatalf("told not_run (%s) after %d runs", a.Reason, runs)
	}
	if a.Outcome == model.OutcomeComplete && runs != 1 {
		t.Fatalf("told complete after %d runs", runs)
	}
	if a.Outcome != model.OutcomeNotRun {
		m.mayHaveRun[key] = true
	}
}
