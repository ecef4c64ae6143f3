package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/backend/backendhttp"
	"oleandersill.example/oleandersill/internal/command/drain"
	"oleandersill.example/oleandersill/internal/command/execute"
	"oleandersill.example/oleandersill/internal/command/report"
	"oleandersill.example/oleandersill/internal/daemon/control"
	"oleandersill.example/oleandersill/internal/dispatch"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/query/queryhttp"
	"oleandersill.example/oleandersill/internal/query/scatter"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Limits of the HTTP servers on the callers' and the operators' ports.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Daemon is one running instance. Create it with Start and end it with Stop.
type Daemon struct {
	settings   settings.Settings
	log        zerolog.Logger
	config     *tables.Config
	dispatcher *dispatch.Dispatcher
	executor   *execute.Executor
	metrics    *telemetry.Metrics
	platform   *platformhttp.Client
	connector  *backendhttp.Connector
	callers    *http.Server
	operators  *http.Server
	listeners  []net.Listener
	wg         sync.WaitGroup
	control    *control.Plane
	drainer    *drain.Drainer
	// maxDeadlineNs is the highest maximum deadline, in nanoseconds, of all configuration revisions applied so far.
	maxDeadlineNs atomic.Int64
	stopOnce      sync.Once
	// stopCollector stops the background removal of unused configuration parts.
	stopCollector context.CancelFunc
}

// Start starts a daemon and returns once its listeners are open.
func Start(s settings.Settings, log zerolog.Logger, options ...Option) (*Daemon, error) {
	o := newOptions(options)
	d := &Daemon{
		settings:  s,
		log:       log.With().Str("instance", string(s.Instance)).Logger(),
		config:    tables.NewConfig(),
		platform:  platformhttp.NewWithDialer(s.PlatformAddress, o.dial),
		connector: &backendhttp.Connector{Dial: o.dial},
	}
	d.platform.Identify(s.Instance, s.Zone)
	recorder := &report.Recorder{Config: d.config, Servers: tables.NewServers(), Connector: d.connector, Policy: s.Policy}
	d.metrics = telemetry.NewMetrics(d.sample)
	d.dispatcher = dispatch.New(dispatch.Config{
		Zone:         s.Zone,
		Region:       s.Region,
		Workers:      s.WorkersPerRank,
		Policy:       s.Policy,
		Metrics:      d.metrics,
		OnZoneChange: d.observeZone,
		Seed:         uint64(time.Now().UnixNano()),
	}, d.config, recorder.Servers, &report.Observer{Next: recorder, Metrics: d.metrics, Log: d.log})
	recorder.Admissions, recorder.Budgets = d.dispatcher.Admissions, d.dispatcher.Budgets
	recorder.OnJoin = d.dispatcher.Warm
	d.drainer = d.newDrainer()
	if err := d.openControlPlane(recorder, o.dial); err != nil {
		d.closeClients()
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.closePorts()
		d.closeServices()
		d.closeClients()
		return nil, err
	}
	d.control.Start()
	d.log.Info().Str("caller_address", d.CallerAddress()).Msg("started")
	return d, nil
}

func (d *Daemon) listen() error {
	incarnation := model.Incarnation(time.Now().UnixNano())
	searcher := &scatter.Searcher{
		Dispatcher:  d.dispatcher,
		Instance:    d.settings.Instance,
		Incarnation: incarnation,
	}
	d.startExecutor(incarnation)
	callers := http.NewServeMux()
	callers.Handle("POST /v1/services/{service}/query",
		d.instrument(&queryhttp.Search{Config: d.config, Searcher: searcher}))
	callers.Handle("GET /metrics", d.metrics)
	d.handleExecute(callers)
	callers.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	operators := http.NewServeMux()
	d.handleConfig(operators)
	d.handleDrain(operators)
	d.handleStatus(callers, operators)
	operators.Handle("GET /metrics", d.metrics)
	var err error
	if d.callers, err = d.serve(d.settings.CallerAddress, d.closeWhileDraining(callers)); err != nil {
		return err
	}
	d.operators, err = d.serve(d.settings.OperatorAddress, d.authorize(operators))
	return err
}

func (d *Daemon) serve(address string, h http.Handler) (*http.Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listening")
	}
	d.listeners = append(d.listeners, l)
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	d.wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("listener_failed")
		}
	})
	return srv, nil
}

// CallerAddress returns the address of the callers' port, host:port.
func (d *Daemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// OperatorAddress returns the address of the operators' port, host:port.
func (d *Daemon) OperatorAddress() string { return d.listeners[1].Addr().String() }

// Stop drains the daemon and shuts it down. It starts a drain without a grace time, or waits for the one that has already
// started. Further calls only wait for the first one.
func (d *Daemon) Stop() { d.stopOnce.Do(d.shutdown) }

func (d *Daemon) shutdown() {
	d.drainer.StartWithoutGrace("stop")
	<-d.drainer.Done()
	d.waitForwarded()
	d.closeServices()
	d.closeClients()
	d.log.Info().Msg("stopped")
}

// closePorts closes the callers' and the operators' port, if open, without a drain.
func (d *Daemon) closePorts() {
	for _, srv := range []*http.Server{d.callers, d.operators} {
		if srv != nil {
			// The port is closed even if this returns an error.
			_ = srv.Close()
		}
	}
}

// closeServices ends what runs in the background and closes the peers' port. The callers' and the operators' port are closed
// already.
func (d *Daemon) closeServices() {
	d.control.Close()
	d.stopCollector()
	d.wg.Wait()
	d.executor.Close()
}

// closeClients ends the workers and closes the connections to servers and to the platform.
func (d *Daemon) closeClients() {
	d.dispatcher.Close()
	d.connector.Close()
	d.platform.Close()
	if err := d.metrics.Close(); err != nil {
		d.log.Warn().Err(err).Msg("metrics_incomplete")
	}
}
