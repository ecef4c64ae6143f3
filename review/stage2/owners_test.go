package stage2_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"oleandersill.example/oleandersill/internal/decision/ownership"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/platform/standin"
	"oleandersill.example/oleandersill/platform/wire"
)

const (
	// The bounds and the quota that the rule is about.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	quotaRate    = 80
	quotaBurst   = 40
	// demandTime is how long callers ask for more than the quota, at isolatedRate requests per second at the daemon that is cut off and
	// otherRate at two others.
	demandTime   = 7 * time.Second
	isolatedRate = 100
	otherRate    = 110
	recordStep   = 500 * time.Millisecond
	stopWithin   = 15 * time.Second
)

// quotaOwners restarts the daemon that grants a tenant's quota in its zone as planned. As it starts again, the one that grants it meanwhile
// is cut off from all machines of the system, though not from callers and servers.
func quotaOwners(f *fleet, trouble bool) (bool, error) {
	f.extraBounds = "strict_revocation = true\nrevocation_ms = 5000\nquota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20"
	f.zones = "huron-north = \"huron\"\nhuron-south = \"huron\""
	n := &network{fleet: f}
	f.network = n
	var servers []*standin.Server
	for i, zone := range []string{"huron-north", "huron-south"} {
		s := standin.StartServer(fmt.Sprintf("i-%d", i), "sender-desk", zone, "0123456789abcdef")
		defer s.Close()
		s.SetBehaviour(standin.Behaviour{ServiceTime: 5 * time.Millisecond, Slots: 100, QueueLimit: 100})
		s.Register(f.store, "ready")
		servers = append(servers, s)
	}
	var daemons []*daemon
	for _, zone := range []string{"huron-north", "huron-north", "huron-north", "huron-south"} {
		d, err := f.add(zone, "huron")
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	isolated, restarted := daemons[0], daemons[1]
	tenant := tenantOwnedBy(restarted, isolated, daemons[2])
	f.rec.line("%s grants the quota of %s in its zone, and %s while it is stopped", restarted.name, tenant, isolated.name)
	f.store.Configure(quotaConfig(tenant))
	for _, d := range daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	f.rec.line("planned stop of %s", restarted.name)
	if err := restarted.stop(); err != nil {
		return false, err
	}
	f.rec.line("%s has ended", restarted.name)
	time.Sleep(3 * time.Second)
	t := &tally{servers: servers}
	var wg sync.WaitGroup
	wg.Go(func() { t.demand(isolated, isolatedRate) })
	wg.Go(func() { t.demand(daemons[2], otherRate) })
	wg.Go(func() { t.demand(daemons[3], otherRate) })
	time.Sleep(100 * time.Millisecond)
	if trouble {
		f.rec.line("%s is cut off from the store and from the other daemons", isolated.name)
		n.isolated.Store(isolated)
	}
	if err := restarted.start(); err != nil {
		return false, err
	}
	wg.Wait()
	return t.judge(f.rec), nil
}

// tenantOwnedBy returns the name of a tenant whose quota in a zone the first of its daemons grants, and the second one if the first has
// left.
func tenantOwnedBy(inZone ...*daemon) string {
	var members []model.Member
	for _, d := range inZone {
		members = append(members, model.Member{Instance: model.InstanceID(d.name)})
	}
	for i := 0; ; i++ {
		name := fmt.Sprintf("tenant-%d", i)
		if slices.Equal(ownership.HighestRanked(name, members, 2), []int{0, 1}) {
			return name
		}
	}
}

// stop stops the process as planned and waits for its end.
func (d *daemon) stop() error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-d.exited:
		return nil
	case <-time.After(stopWithin):
		return fmt.Errorf("%s did not stop", d.name)
	}
}

// tally holds the requests that were answered with success.
type tally struct {
	servers []*standin.Server
	mu      sync.Mutex
	served  []servedRequest
	// statuses counts the answers by daemon and status.
	statuses map[string]int
}

// servedRequest is a request that ran. It arrived at the server between sent and answered.
type servedRequest struct {
	sent, answered time.Time
	daemon         string
}

// demand sends requests to a daemon at a steady rate, each on a connection of its own.
func (t *tally) demand(d *daemon, rate int) {
	pace := time.NewTicker(time.Second / time.Duration(rate))
	defer pace.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n, end := 0, time.Now().Add(demandTime); time.Now().Before(end); n++ {
		<-pace.C
		wg.Go(func() { t.ask(d, fmt.Sprintf("%s-%d", d.name, n)) })
	}
}

func (t *tally) ask(d *daemon, id string) {
	h := http.Header{}
	h.Set(wire.HeaderRequestID, id)
	h.Set(wire.HeaderTimeRemaining, "2000")
	h.Set(wire.HeaderCredential, keptKey)
	r := servedRequest{sent: time.Now(), daemon: d.name}
	status := get(d.callers(), "/status/x", h, 2*time.Second)
	r.answered = time.Now()
	ran := slices.ContainsFunc(t.servers, func(s *standin.Server) bool { return s.Runs(id) > 0 })
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = map[string]int{}
	}
	t.statuses[fmt.Sprintf("%s: answered %d", d.name, status)]++
	if ran {
		t.served = append(t.served, r)
	}
}

// judge reports whether, in some window, more requests were sent and arrived than the rule allows.
func (t *tally) judge(rec *record) bool {
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, byDaemon := 0, map[string]int{}
	for _, first := range t.served {
		count, of := 0, map[string]int{}
		for _, r := range t.served {
			if !r.sent.Before(first.sent) && r.answered.Before(first.sent.Add(quotaWindow)) {
				count++
				of[r.daemon]++
			}
		}
		if count > most {
			most, byDaemon = count, of
		}
	}
	slices.SortFunc(t.served, func(a, b servedRequest) int { return a.sent.Compare(b.sent) })
	t.recordSteps(rec)
	for what, count := range t.statuses {
		rec.line("%s: %d times", what, count)
	}
	rec.line("at most %d requests were sent and ran in %v, %v; the rule allows %.0f", most, quotaWindow, byDaemon, limit)
	return float64(most) > limit
}

// recordSteps records how many requests of each daemon were sent and ran in each step of time.
func (t *tally) recordSteps(rec *record) {
	for from := t.served[0].sent; from.Before(t.served[len(t.served)-1].sent); from = from.Add(recordStep) {
		of := map[string]int{}
		for _, r := range t.served {
			if !r.sent.Before(from) && r.sent.Before(from.Add(recordStep)) {
				of[r.daemon]++
			}
		}
		rec.line("requests that ran, sent from %.1f s on: %v", from.Sub(rec.began).Seconds(), of)
	}
}

func quotaConfig(tenant string) standin.Config {
	c := keyConfig(1, keptKey)
	c.Routes[0].Kind = "unsafe"
	c.Workspaces = []standin.Workspace{{Name: tenant, APIKeys: []string{keptKey}, RatePerS: quotaRate, Burst: quotaBurst}}
	return c
}
