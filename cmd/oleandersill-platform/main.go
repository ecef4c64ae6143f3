// Command oleandersill-platform is the query tier's daemon on the users' platform.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/telemetry"
	"oleandersill.example/oleandersill/platform/daemon"
	"oleandersill.example/oleandersill/platform/settings"
)

// Exit codes other than 0.
const (
	exitUsage = 2
	// exitCutOff: SIGINT ended the process while it was stopping, before its requests had ended.
	exitCutOff = 3
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "path of the settings file (TOML); the platform names it in the environment")
	metricsPort := flag.Uint("metrics-port", 0, "port of the metrics at the instance's own address, 0 for none")
	flag.Parse()
	if *metricsPort > math.MaxUint16 || flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "-metrics-port: allowed is 0 to %d; further arguments: allowed are none\n", math.MaxUint16)
		return exitUsage
	}
	file := settings.Path(*path)
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, zerolog.InfoLevel)
	daemon.RedirectStandardLog(log)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := daemon.Start(s, uint16(*metricsPort), log)
	if err != nil {
		log.Error().Err(err).Msg("start_failed")
		return exitUsage
	}
	return serve(d, signals, file, log)
}

// serve runs the daemon until it has drained on a signal. SIGTERM may come again and changes nothing then, since signals of a
// platform come in series; SIGINT, which an operator sends, ends a process that is stopping at once. The settings file is
// read again on SIGHUP, and when it changed without a signal.
func serve(d *daemon.Daemon, signals <-chan os.Signal, file string, log zerolog.Logger) int {
	watched := watchedFile{path: file}
	watched.changed()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	draining := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				reload(d, file, log)
			case draining && s == syscall.SIGINT:
				return exitCutOff
			case draining:
			default:
				draining = true
				d.BeginDrain(s.String())
			}
		case <-look.C:
			if watched.changed() {
				reload(d, file, log)
			}
		case <-d.Drained():
			d.Stop()
			return 0
		}
	}
}

// lookInterval is the time between looks at the settings file.
const lookInterval = 5 * time.Second

// watchedFile tells whether a file changed since the last look.
type watchedFile struct {
	path     string
	modified time.Time
	size     int64
}

func (f *watchedFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		// A file that is being replaced is there at the next look.
		return false
	}
	changed := !info.ModTime().Equal(f.modified) || info.Size() != f.size
	f.modified, f.size = info.ModTime(), info.Size()
	return changed
}

// reload reads the settings file again; one that cannot be used changes nothing.
func reload(d *daemon.Daemon, file string, log zerolog.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Warn().Err(err).Msg("settings_not_reloaded")
		return
	}
	d.Reload(s)
}
