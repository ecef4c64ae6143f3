// Command oleandersill-platform is the daemon of the query tier for the platform of its users (see package platform).
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/intake"
	"oleandersill.example/oleandersill/internal/telemetry"
	"oleandersill.example/oleandersill/platform/daemon"
	"oleandersill.example/oleandersill/platform/settings"
)

// Exit codes other than 0.
const (
	exitUsage = 2
	// exitInterrupted: SIGINT ended the process during the drain, while requests were in flight.
	exitInterrupted = 3
)

func main() { os.Exit(run()) }

func run() int {
	// A signal that comes while the daemon starts is handled once it has started.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := flag.String("settings", "", "path of the settings file (TOML); default: the path in the environment variable that the platform sets")
	metricsPort := flag.Uint("metrics-port", 0, "port for metrics at the instance's own address; 0 disables them")
	flag.Parse()
	if *metricsPort > math.MaxUint16 || flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "-metrics-port must be 0 to %d; positional arguments are not allowed\n", math.MaxUint16)
		return exitUsage
	}
	file := settings.Path(*path)
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	limitMemory(s)
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, zerolog.InfoLevel)
	daemon.RedirectStandardLog(log)
	d, err := daemon.Start(s, uint16(*metricsPort), log)
	if err != nil {
		log.Error().Err(err).Msg("start_failed")
		return exitUsage
	}
	return serve(d, signals, file, log)
}

// limitMemory sets the soft memory limit of the Go runtime, unless the environment sets a lower one.
func limitMemory(s settings.Settings) {
	limit := intake.Divide(s.MemoryBytes, s.Descriptors()).RuntimeBytes
	if limit > 0 && limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}

// serve runs the daemon until a signal has drained it, and returns the exit code. A repeated SIGTERM is ignored, since the platform
// may send it several times. SIGINT, which an operator sends, ends a draining process at once. The settings file is read again on
// SIGHUP and when it has changed, which is checked every pollInterval.
func serve(d *daemon.Daemon, signals <-chan os.Signal, file string, log zerolog.Logger) int {
	watched := watchedFile{path: file}
	watched.changed()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	draining := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				reload(d, file, log)
			case draining && s == syscall.SIGINT:
				return exitInterrupted
			case draining:
			default:
				draining = true
				d.BeginDrain(s.String())
			}
		case <-poll.C:
			if watched.changed() {
				reload(d, file, log)
			}
		case <-d.Drained():
			d.Stop()
			return 0
		}
	}
}

// pollInterval is the interval between checks of the settings file for changes.
const pollInterval = 5 * time.Second

// watchedFile detects changes of a file by its modification time and size.
type watchedFile struct {
	path     string
	modified time.Time
	size     int64
}

// changed reports whether the file has changed since the last call.
func (f *watchedFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		// The file may be missing while it is replaced; the next call checks again.
		return false
	}
	changed := !info.ModTime().Equal(f.modified) || info.Size() != f.size
	f.modified, f.size = info.ModTime(), info.Size()
	return changed
}

// reload reads the settings file again. Invalid settings are logged and ignored.
func reload(d *daemon.Daemon, file string, log zerolog.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Warn().Err(err).Msg("settings_not_reloaded")
		return
	}
	d.Reload(s)
}
