package daemon

import (
	"context"
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/daemon/control"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
	"oleandersill.example/oleandersill/internal/tables"
)

// openControlPlane creates the daemon's control plane, which joins the fleet once it is started. It enables forwarding
// between daemons under the default policy if the peers' port is open.
func (d *Daemon) openControlPlane(recorder *report.Recorder, dial DialFunc) error {
	d.platform.Identify(d.settings.Instance, d.settings.Zone)
	plane, err := control.Open(control.Config{
		Instance:      d.settings.Instance,
		Zone:          d.settings.Zone,
		PeerAddress:   d.settings.PeerAddress,
		PeerToken:     d.settings.PeerToken,
		Seeds:         d.settings.Peers,
		Dial:          peer.DialFunc(dial),
		Store:         d.platform,
		Instances:     d.platform,
		Config:        d.config,
		Servers:       recorder.Servers,
		Validate:      validate,
		ApplyTopology: d.topologyApplier(recorder),
		OwnersJoined:  d.dispatcher.Preconnect,
		Draining:      d.drainer.Draining,
		Log:           d.log,
	})
	if err != nil {
		return err
	}
	d.control = plane
	if d.settings.Policy == model.PolicyDefault && d.settings.PeerAddress != "" {
		plane.SetReceiver(d.dispatcher.EnableForwarding(dispatch.ForwardingConfig{
			Sender:   plane.DataClient,
			Self:     plane.Members.Self(),
			Owners:   plane.Owners,
			Draining: d.drainer.Draining,
		}))
	}
	recorder.OnDraining = func(s *tables.Server) { plane.Agent.ObserveDraining(s.Name()) }
	return nil
}

// topologyApplier returns the function that updates the tables for a Topology that is about to be installed. The function
// logs a warning if the maximum deadline exceeds the drain timeout: a graceful shutdown may then take longer than its
// timeout, and the platform may end the process before.
func (d *Daemon) topologyApplier(recorder *report.Recorder) func(*model.Topology, time.Time) {
	return func(t *model.Topology, now time.Time) {
		recorder.ApplyTopology(t, now)
		// Requests under earlier revisions may still be in flight, so the value never decreases. A single worker applies all
		// revisions, so a load followed by a store loses no update.
		maxDeadline := time.Duration(t.Rules.Deadlines.MaxMs) * time.Millisecond
		d.maxDeadlineNs.Store(max(d.maxDeadlineNs.Load(), int64(maxDeadline)))
		if maxMs := t.Rules.Deadlines.MaxMs; maxMs > d.settings.DrainTimeoutMs {
			d.log.Warn().Uint64("revision", uint64(t.Revision)).Int("max_ms", maxMs).
				Int("drain_timeout_ms", d.settings.DrainTimeoutMs).Msg("deadline_exceeds_drain")
		}
	}
}

// forwardedResultMargin is the time after its deadline that a forwarded sub-request may need until its result is sent.
const forwardedResultMargin = time.Second

// waitForwarded waits until the sub-requests that other daemons forwarded to this one have ended and their results were
// delivered, at most for the maximum deadline plus forwardedResultMargin. Queries in flight on the other daemons wait for
// these results.
func (d *Daemon) waitForwarded() {
	maxDeadline := time.Duration(d.maxDeadlineNs.Load())
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline+forwardedResultMargin)
	defer cancel()
	d.dispatcher.WaitForwarded(ctx)
}

// handleStatus registers the readiness and status endpoints.
func (d *Daemon) handleStatus(callers, operators *http.ServeMux) {
	callers.Handle("GET /readyz", &queryhttp.Ready{Reader: d.control.Status})
	operators.Handle("GET /v1/status", &queryhttp.Status{Reader: d.control.Status})
}

// PeerAddress returns the address of the peers' port, host:port, or "" if the port is not open.
func (d *Daemon) PeerAddress() string { return d.control.Members.Self().Address }

// validate returns an error for a configuration that must not be installed. base is the current inventory, or nil.
func validate(base *model.Inventory, inv model.Inventory, rules model.Rules) error {
	return document.ValidateIncremental(base, inv, rules).Err()
}
