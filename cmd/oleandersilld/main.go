// Command oleandersilld is the daemon of the query tier. It runs one entry instance.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/telemetry"
)

// Exit codes other than 0.
const (
	// exitStartFailed: the settings are invalid or the daemon did not start.
	exitStartFailed = 2
	// exitForced: a signal during the drain ended the process before its requests had ended.
	exitForced = 3
)

func main() { os.Exit(run()) }

func run() int {
	// A signal that comes while the daemon starts is handled once it has started.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	path := flag.String("settings", "", "path of the settings file (YAML)")
	flag.Parse()
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStartFailed
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStartFailed
	}
	d, err := daemon.Start(s, telemetry.NewLogger(os.Stderr, level))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStartFailed
	}
	return serve(d, signals)
}

// serve waits until a signal or an operator's request starts a drain, and stops the daemon once it has drained. It returns
// early if a signal arrives during the drain: who repeats the signal does not want to wait for the requests in flight.
func serve(d *daemon.Daemon, signals <-chan os.Signal) int {
	select {
	case s := <-signals:
		d.BeginDrain(s.String())
	case <-d.Draining():
	}
	select {
	case <-signals:
		return exitForced
	case <-d.Drained():
	}
	d.Stop()
	return 0
}
