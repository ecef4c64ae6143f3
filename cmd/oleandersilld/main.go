// Command oleandersilld is the query tier's daemon.
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

const exitUsage = 2

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "path of the settings file (YAML)")
	flag.Parse()
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	d, err := daemon.Start(s, telemetry.NewLogger(os.Stderr, level))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.Stop()
	return 0
}
