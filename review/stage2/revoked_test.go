package stage2_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"oleandersill.example/oleandersill/platform/standin"
	"oleandersill.example/oleandersill/platform/wire"
)

const (
	revocation = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 5700 * time.Millisecond
	// restoreAfter is when the store is restored, counted from the ack of the configuration that removes the key.
	restoreAfter = 5300 * time.Millisecond
	// restartDelay is how long after its end the platform starts the process again.
	restartDelay = 400 * time.Millisecond
	keptKey      = "kept-7x2q"
	removedKey   = "removed-9k4f"
)

func revokedKey(f *fleet, trouble bool) (bool, error) {
	f.extraBounds = "strict_revocation = true\nrevocation_ms = 5000"
	f.store.SendEra()
	server := standin.StartServer("i-1", "sender-desk", "huron-north", "0123456789abcdef")
	defer server.Close()
	server.Register(f.store, "ready")
	f.store.Configure(keyConfig(1, keptKey, removedKey))
	var daemons []*daemon
	for range 3 {
		d, err := f.add("huron-north", "huron")
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	for i, d := range daemons {
		if status := withKey(d, removedKey, fmt.Sprintf("before-%d", i)); status != http.StatusOK {
			return false, fmt.Errorf("the key was not accepted before it was removed: %d", status)
		}
	}
	f.store.Configure(keyConfig(2, keptKey))
	acked := time.Now()
	f.rec.line("acknowledged: version 2, which takes %s away", removedKey)
	time.Sleep(time.Until(acked.Add(restoreAfter)))
	if trouble {
		f.rec.line("the store is away and comes back from a copy %v old", copyAge)
		f.store.Restore(copyAge)
		f.rec.line("killed %s", daemons[2].name)
		daemons[2].kill()
		time.Sleep(restartDelay)
		if err := daemons[2].start(); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.recordConfigurations(acked) })
	var mu sync.Mutex
	ran := 0
	for i, d := range daemons {
		wg.Go(func() {
			n := f.askWithRemovedKey(d, server, fmt.Sprintf("late-%d", i), acked)
			mu.Lock()
			defer mu.Unlock()
			ran += n
		})
	}
	wg.Wait()
	f.rec.line("%d requests with the removed key ran that were sent later than %v after the ack", ran, revocation)
	return ran > 0, nil
}

// askWithRemovedKey sends requests with the removed key for 4 s and returns how many of them the server ran.
func (f *fleet) askWithRemovedKey(d *daemon, server *standin.Server, prefix string, acked time.Time) (ran int) {
	for n := 0; time.Since(acked) < restoreAfter+4*time.Second; n++ {
		id := fmt.Sprintf("%s-%d", prefix, n)
		sent := time.Since(acked)
		status := withKey(d, removedKey, id)
		if server.Runs(id) > 0 && sent > revocation {
			ran++
			f.rec.line("RAN at the server: %s, sent to %s %.3f s after the ack, answered %d", id, d.name, sent.Seconds(), status)
		} else if n%25 == 0 {
			f.rec.line("not run: %s, sent to %s %.3f s after the ack, answered %d", id, d.name, sent.Seconds(), status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ran
}

// recordConfigurations records for 4 s when the configuration in the store changes.
func (f *fleet) recordConfigurations(acked time.Time) {
	last := -1
	for ; time.Since(acked) < restoreAfter+4*time.Second; time.Sleep(20 * time.Millisecond) {
		if version := f.storedVersion(); version != 0 && version != last {
			f.rec.line("the store has version %d, %.3f s after the ack", version, time.Since(acked).Seconds())
			last = version
		}
	}
}

// storedVersion reads the version of the configuration from the store; 0 if the store does not answer.
func (f *fleet) storedVersion() int {
	resp, err := http.Get("http://" + f.endpoint.Address() + "/kv-range?prefix=op/config")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	var config struct {
		Version int `json:"version"`
	}
	if json.NewDecoder(resp.Body).Decode(&page) != nil || len(page.Items) == 0 || json.Unmarshal(page.Items[0].Value, &config) != nil {
		return 0
	}
	return config.Version
}

func withKey(d *daemon, key, id string) int {
	h := http.Header{}
	h.Set(wire.HeaderRequestID, id)
	h.Set(wire.HeaderTimeRemaining, "2000")
	h.Set(wire.HeaderCredential, key)
	return get(d.callers(), "/status/x", h, 2*time.Second)
}

func keyConfig(version int, keys ...string) standin.Config {
	return standin.Config{
		Version: version,
		Routes: []standin.Route{{
			Name: "sender-status", Host: host, Prefix: "/status/", Kind: "safe", TimeoutMs: 15000, TargetLatencyMs: 2000, Priority: 2,
			MaxAttempts: 2, Service: "sender-desk",
		}},
		Services:   []standin.Service{{Name: "sender-desk", HealthPath: "/health", MaxConnections: 550}},
		Limits:     standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Workspaces: []standin.Workspace{{Name: "tenant-a", APIKeys: keys}},
	}
}
