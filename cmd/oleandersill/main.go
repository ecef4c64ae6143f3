// Command oleandersill is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/cli/command"
	"oleandersill.example/oleandersill/internal/cli/query"
)

func main() { os.Exit(run()) }

func run() int {
	// By default, a write to standard output whose reader has closed the pipe kills a Go process with SIGPIPE, before it
	// can report the outcome of a change.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &cli.Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	return cli.Run(ctx, env, os.Args[1:], slices.Concat(query.All(), command.All()))
}
