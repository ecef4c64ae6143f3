package configure_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleandersill.example/oleandersill/internal/command/configure"
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/configstore"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

// machine drives changes by several editors over a store whose every call may fail, and checks the verdicts against the
// store's own history of the head.
type machine struct {
	store   *faultyStore
	changes []configure.Change
	// verdicts holds the verdicts of the calls made for each change, by its index.
	verdicts map[int][]configure.Verdict
	history  []*configdoc.Root
	// heads is the number of values that the head had held at the last check.
	heads int
	// slots is the number of slots in the last change; each change has a new one.
	slots int
}

// configurer returns a new Configurer for each call, as after a restart: nothing may depend on the memory of an earlier one.
func (m *machine) configurer() *configure.Configurer {
	backoff := configstore.Backoff{MaxAttempts: 4, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}
	return &configure.Configurer{Store: m.store, Now: time.Now, Backoff: backoff}
}

// faults draws the fault of each call; most calls succeed, so that some changes are accepted.
func faults(t *rapid.T) func(op, key string) fault {
	return func(op, _ string) fault {
		if rapid.IntRange(0, 2).Draw(t, "fails") > 0 {
			return ok
		}
		if op == "get" || op == "list" {
			return rapid.SampledFrom([]fault{unavailable, stale}).Draw(t, op)
		}
		return rapid.SampledFrom([]fault{unavailable, lostRequest, lostReply, delayed}).Draw(t, op)
	}
}

// drawChange makes a change of one service, based on the current revision or one of the two before.
func (m *machine) drawChange(t *rapid.T) int {
	m.slots++
	expect := len(m.history) - rapid.IntRange(0, min(2, len(m.history))).Draw(t, "behind")
	ch := change(model.Revision(expect), fmt.Sprintf("editor%d", m.slots), 1, 1)
	service := rapid.IntRange(0, 1).Draw(t, "service")
	ch.Inventory.Services[service].Shards[0].Servers[0].Slots = 1 + m.slots
	ch.Merge = rapid.Bool().Draw(t, "merge")
	if len(m.history) > 0 && expect > 0 {
		m.copyFromBase(&ch, m.history[expect-1], 1-service)
	}
	m.changes = append(m.changes, ch)
	return len(m.changes) - 1
}

// copyFromBase gives the service that the change does not edit the content that it has in the base revision.
func (m *machine) copyFromBase(ch *configure.Change, base *configdoc.Root, service int) {
	inv, _, err := configdoc.Join(base, func(h configdoc.Hash) []byte {
		return m.store.last(configdoc.PrefixParts + string(h)).Value
	})
	if err == nil {
		ch.Inventory.Services[service] = inv.Services[service]
	}
}

func (m *machine) apply(t *rapid.T, i int) {
	m.store.faultOf = faults(t)
	result := m.configurer().Apply(context.Background(), m.changes[i])
	m.store.faultOf = nil
	m.record(t, i, result)
}

func (m *machine) record(t *rapid.T, i int, result configure.Result) {
	m.verdicts[i] = append(m.verdicts[i], result.Verdict)
	t.Logf("change %d: %s %s %s", i, result.Verdict, result.Cause, result.Detail)
	if result.Verdict == configure.Accepted && result.Root.Editor != m.changes[i].Editor {
		t.Fatalf("change %d was reported as accepted in a revision of %s", i, result.Root.Editor)
	}
}

func (m *machine) Apply(t *rapid.T) { m.apply(t, m.drawChange(t)) }

// Rollback rolls back to any earlier revision.
func (m *machine) Rollback(t *rapid.T) {
	if len(m.history) == 0 {
		t.Skip("nothing to roll back to")
	}
	m.slots++
	r := configure.Rollback{
		To:     model.Revision(rapid.IntRange(1, len(m.history)).Draw(t, "to")),
		Expect: model.Revision(len(m.history) - rapid.IntRange(0, 1).Draw(t, "behind")),
		Editor: fmt.Sprintf("editor%d", m.slots),
	}
	m.store.faultOf = faults(t)
	result := m.configurer().Rollback(context.Background(), r)
	m.store.faultOf = nil
	if result.Repeated {
		return // Another editor had made the same change from the same revision.
	}
	m.changes = append(m.changes, configure.Change{Editor: r.Editor})
	m.record(t, len(m.changes)-1, result)
}

// Repeat applies an earlier change again, as an operator does after an unknown verdict.
func (m *machine) Repeat(t *rapid.T) {
	if len(m.changes) == 0 {
		t.Skip("nothing to repeat")
	}
	i := rapid.IntRange(0, len(m.changes)-1).Draw(t, "which")
	if m.changes[i].Inventory.Zones == nil {
		t.Skip("a rollback")
	}
	m.apply(t, i)
}

// Race runs the whole change of a second editor between two store calls of the first one's change.
func (m *machine) Race(t *rapid.T) {
	first, second := m.drawChange(t), m.drawChange(t)
	c := m.configurer()
	before := rapid.SampledFrom([]string{"get", "put " + configdoc.PrefixParts, "put " + configdoc.PrefixRoots,
		"put " + configdoc.KeyHead}).Draw(t, "before")
	c.Store = &hookedStore{faultyStore: m.store, before: before, hook: func() { m.apply(t, second); m.store.faultOf = faults(t) }}
	m.store.faultOf = faults(t)
	result := c.Apply(context.Background(), m.changes[first])
	m.store.faultOf = nil
	m.record(t, first, result)
}

// Collect runs a collection, with an editor's change between two of its store calls.
func (m *machine) Collect(t *rapid.T) {
	i := m.drawChange(t)
	c := m.configurer()
	before := rapid.SampledFrom([]string{"put " + configdoc.KeyHead, "delete"}).Draw(t, "before")
	c.Store = &hookedStore{faultyStore: m.store, before: before, hook: func() { m.apply(t, i); m.store.faultOf = faults(t) }}
	m.store.faultOf = faults(t)
	_, err := c.Collect(context.Background())
	m.store.faultOf = nil
	t.Logf("collect: %v", err)
	// The lease of a collection outlasts any delayed delete, so the next one starts after both.
	m.store.applyPending()
	m.heads = 0
	m.store.entries[configdoc.KeyCollector] = nil
}

// Settle lets delayed writes take effect.
func (m *machine) Settle(*rapid.T) { m.store.applyPending() }

// Check compares the store's history with the history at the last check and with the verdicts.
func (m *machine) Check(t *rapid.T) {
	if heads := m.store.entries[configdoc.KeyHead]; len(heads) != m.heads {
		m.heads = len(heads)
		before := len(m.history)
		m.history = acceptedRoots(t, heads)
		if len(m.history) < before {
			t.Fatalf("the history went from %d to %d revisions", before, len(m.history))
		}
		m.checkReaders(t)
	}
	count := map[string]int{}
	for _, root := range m.history {
		count[root.Editor]++
	}
	for i, verdicts := range m.verdicts {
		m.checkVerdicts(t, i, verdicts, count[m.changes[i].Editor])
	}
}

func (m *machine) checkVerdicts(t *rapid.T, i int, verdicts []configure.Verdict, times int) {
	reported := map[configure.Verdict]bool{}
	for _, v := range verdicts {
		reported[v] = true
	}
	switch {
	case times > 1:
		t.Fatalf("change %d was accepted %d times", i, times)
	case reported[configure.Accepted] && times != 1:
		t.Fatalf("change %d was reported as accepted and is not in the history", i)
	case !reported[configure.Accepted] && !reported[configure.Unknown] && times != 0:
		t.Fatalf("change %d was reported as not accepted and is in the history", i)
	}
}

// checkReaders checks that the audit trail equals the history and that the revision in force has all its parts.
func (m *machine) checkReaders(t *rapid.T) {
	reader := configstore.Reader{Store: m.store, Backoff: configstore.Backoff{MaxAttempts: 1}}
	head, err := reader.Head(context.Background())
	if err != nil || head.Root == nil {
		return
	}
	chain, err := reader.Chain(context.Background(), head.Root, 1, len(m.history))
	if err != nil || len(chain) != len(m.history) {
		t.Fatalf("the audit trail has %d of %d revisions: %v", len(chain), len(m.history), err)
	}
	for i, root := range chain {
		if string(root.Encode()) != string(m.history[len(chain)-1-i].Encode()) {
			t.Fatalf("the audit trail differs from what was accepted at revision %d", root.Revision)
		}
	}
	if _, _, err := reader.Load(context.Background(), head.Root); err != nil {
		t.Fatalf("revision %d cannot be loaded: %v", head.Revision(), err)
	}
}

// acceptedRoots returns the roots that the head has held, in order.
func acceptedRoots(t *rapid.T, entries []platform.Entry) []*configdoc.Root {
	var roots []*configdoc.Root
	last := ""
	var record configdoc.Hash
	for _, e := range entries {
		if string(e.Value) == last {
			continue
		}
		root, err := configdoc.DecodeRoot(e.Value)
		if err != nil || int(root.Revision) != len(roots)+1 {
			t.Fatalf("head version %d holds revision %v after %d: %v", e.Version, root, len(roots), err)
		}
		if last != "" && root.Previous != record {
			t.Fatalf("revision %d does not follow its predecessor", root.Revision)
		}
		_, record = root.Record()
		roots, last = append(roots, root), string(e.Value)
	}
	return roots
}

// TestMachine guards against a change that is accepted twice, a verdict that contradicts the history of the head, an audit
// trail that differs from it, and a head whose parts are missing, under any order of faults that the store can have.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: newFaultyStore(), verdicts: map[int][]configure.Verdict{}}
		actions := rapid.StateMachineActions(m)
		t.Repeat(actions)
		m.store.applyPending()
		m.Check(t)
	})
}
