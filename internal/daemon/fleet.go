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
)

// openFleet makes the daemon's control part, which joins the fleet once it is started.
func (d *Daemon) openFleet(recorder *report.Recorder, dial DialFunc) error {
	d.platform.Identify(d.settings.Instance, d.settings.Zone)
	part, err := control.Open(control.Config{
		Instance:     d.settings.Instance,
		Zone:         d.settings.Zone,
		PeerAddress:  d.settings.PeerAddress,
		PeerToken:    d.settings.PeerToken,
		Seeds:        d.settings.Peers,
		Dial:         peer.DialFunc(dial),
		Store:        d.platform,
		Instances:    d.platform,
		Config:       d.config,
		Servers:      recorder.Servers,
		Validate:     validate,
		Adopt:        d.adopter(recorder),
		OwnersJoined: d.dispatcher.Preconnect,
		Draining:     d.drainer.Draining,
		Log:          d.log,
	})
	if err != nil {
		return err
	}
	d.control = part
	if d.settings.Policy == model.PolicyDefault && d.settings.PeerAddress != "" {
		part.SetReceiver(d.dispatcher.EnableForwarding(dispatch.ForwardingConfig{
			Sender:   part.DataClient,
			Self:     part.Members.Self(),
			Owners:   part.Owners,
			Draining: d.drainer.Draining,
		}))
	}
	recorder.OnDraining = part.Agent.ObserveDraining
	return nil
}

// adopter returns what brings the tables in step with a revision. It warns of deadlines that make a graceful shutdown
// take longer than its timeout, since the platform may end the process before.
func (d *Daemon) adopter(recorder *report.Recorder) func(*model.Topology, time.Time) {
	return func(t *model.Topology, now time.Time) {
		recorder.ApplyTopology(t, now)
		// Requests of earlier revisions may still be in flight, so the value only grows. One worker takes all revisions.
		allowed := time.Duration(t.Rules.Deadlines.MaxMs) * time.Millisecond
		d.longestDeadline.Store(max(d.longestDeadline.Load(), int64(allowed)))
		if longest := t.Rules.Deadlines.MaxMs; longest > d.settings.DrainTimeoutMs {
			d.log.Warn().Uint64("revision", uint64(t.Revision)).Int("max_ms", longest).
				Int("drain_timeout_ms", d.settings.DrainTimeoutMs).Msg("deadline_exceeds_drain")
		}
	}
}

// forwardedMargin is the time beyond its deadline that a sub-request of another daemon may need until its result is sent.
const forwardedMargin = time.Second

// finishForwarded waits for the sub-requests that this daemon sends for others, at most until their deadlines. Those that
// wait for them are queries in flight at other daemons.
func (d *Daemon) finishForwarded() {
	longest := time.Duration(d.longestDeadline.Load())
	ctx, cancel := context.WithTimeout(context.Background(), longest+forwardedMargin)
	defer cancel()
	d.dispatcher.WaitForwarded(ctx)
}

func (d *Daemon) handleStatus(callers, operators *http.ServeMux) {
	callers.Handle("GET /readyz", &queryhttp.Ready{Reader: d.control.Status})
	operators.Handle("GET /v1/status", &queryhttp.Status{Reader: d.control.Status})
}

// PeerAddress returns the peers' address, host:port, or "" if the port is not open.
func (d *Daemon) PeerAddress() string { return d.control.Members.Self().Address }

// validate returns an error for a configuration that must not be put in force.
func validate(base *model.Inventory, inv model.Inventory, rules model.Rules) error {
	return document.ValidateOn(base, inv, rules).Err()
}
