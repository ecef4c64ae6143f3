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
// against a second run of a key, against not_run for a request that ran, and against complete for one that did not.
func TestAtMostOnce(t *testing.T) {
	lockorder.EnableCheck()
	synctest.Test(t, func(t *testing.T) {
		// rapid calls the Deadline method of a *testing.T, which is not allowed in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			m := &machine{cluster: newCluster(), mayHaveRun: map[string]bool{}}
			defer m.cluster.close()
			m.keys = []string{keyAt(time.Now()), keyAt(time.Now()), keyAt(time.Now())}
			rt.Repeat(map[string]func(*rapid.T){
				"request":        m.request,
				"two at a time":  m.race,
				"delayed effect": func(*rapid.T) { m.cluster.ClearFaults() },
			})
		})
	})
}

// machine is the state of the random test.
type machine struct {
	cluster *cluster
	keys    []string
	// mayHaveRun holds, for each key, whether a caller got an outcome other than not_run.
	mayHaveRun map[string]bool
}

func (m *machine) request(t *rapid.T) {
	key := m.drawFaults(t)
	first := !m.mayHaveRun[key]
	r := m.cluster.daemons[rapid.IntRange(0, 1).Draw(t, "daemon")].send(key, "b", first)
	m.check(t, key, r, false)
}

// race sends one key through both daemons at the same time; neither request is stated to be the first attempt, since the
// caller sends two.
func (m *machine) race(t *rapid.T) {
	key := m.drawFaults(t)
	var responses [2]execute.Response
	ended := make(chan struct{})
	for i, d := range m.cluster.daemons {
		go func() {
			responses[i] = d.send(key, "b", false)
			ended <- struct{}{}
		}()
	}
	<-ended
	<-ended
	for _, r := range responses {
		m.check(t, key, r, true)
	}
}

// drawFaults sets the faults of the next request and returns its key.
func (m *machine) drawFaults(t *rapid.T) string {
	storeFaults := rapid.SampledFrom(faultList{fine, fine, down, lostBefore, lostAfter, late, slow, paused})
	readFaults := rapid.SampledFrom(faultList{fine, down, stale})
	serverFaults := rapid.SampledFrom(faultList{fine, fine, down, lostBefore, lostAfter, late, slow, shed, drains, crossed, failed})
	m.cluster.SetScript(faults{
		Puts:     rapid.SliceOfN(storeFaults, 0, 6).Draw(t, "store"),
		Gets:     rapid.SliceOfN(readFaults, 0, 4).Draw(t, "reads"),
		Requests: rapid.SliceOfN(serverFaults, 0, 3).Draw(t, "servers"),
	})
	return rapid.SampledFrom(m.keys).Draw(t, "key")
}

// check compares a response with the servers' record of runs. After a response of not_run, a request that was sent at the
// same time may have taken over the released claim and run.
func (m *machine) check(t *rapid.T, key string, r execute.Response, racing bool) {
	runs := m.cluster.Runs(key)
	if runs > 1 {
		t.Fatalf("%d runs", runs)
	}
	if r.Outcome == model.OutcomeNotRun && runs != 0 && !racing {
		t.Fatalf("outcome not_run (%s) after %d runs", r.Reason, runs)
	}
	if r.Outcome == model.OutcomeComplete && runs != 1 {
		t.Fatalf("outcome complete after %d runs", runs)
	}
	if r.Outcome != model.OutcomeNotRun {
		m.mayHaveRun[key] = true
	}
}
