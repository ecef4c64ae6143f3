package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"

	"oleandersill.example/oleandersill/internal/validation"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed: the daemon refused the request, the request failed, or its answer is partial.
	ExitFailed = 1
	// ExitUsage: wrong arguments or an invalid document.
	ExitUsage = 2
	// ExitConflict: the configuration has changed since the expected revision.
	ExitConflict = 3
	// ExitUnknown: the outcome is not known, the request was not run, or the daemon or the store was not available.
	ExitUnknown = 4
)

// Env gives a sub-command access to its process: the output streams and the environment variables.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// RunFunc runs a sub-command whose flags have been parsed. A returned *Failure sets the exit code; validation.Problems
// exit with ExitUsage, syscall.EPIPE with ExitOK, and other errors with ExitFailed.
type RunFunc func(ctx context.Context, env *Env) error

// Command is one sub-command.
type Command struct {
	Name    string
	Summary string
	// Example is a command line, shown by --help.
	Example string
	// Setup declares the flags and returns the function that runs with their values.
	Setup func(fs *flag.FlagSet, env *Env) RunFunc
}

// Failure is an error with an exit code. An empty Message prints nothing, because the output already says what failed.
type Failure struct {
	Code    int
	Message string
	// ProblemCode is the code of the httpapi.Problem that the daemon answered with; empty if there was none.
	ProblemCode string
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

// Failf returns a *Failure with a formatted message.
func Failf(code int, format string, args ...any) error {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Run runs the sub-command that args[0] names and returns the exit code.
func Run(ctx context.Context, env *Env, args []string, commands []Command) int {
	if len(args) == 0 {
		usage(env.Stderr, commands)
		return ExitUsage
	}
	if isHelp(args[0]) {
		usage(env.Stdout, commands)
		return ExitOK
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return runCommand(ctx, env, c, args[1:])
		}
	}
	_, _ = fmt.Fprintf(env.Stderr, "oleandersill: there is no sub-command %q\n", args[0])
	usage(env.Stderr, commands)
	return ExitUsage
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

func usage(w io.Writer, commands []Command) {
	_, _ = fmt.Fprintf(w, "usage: oleandersill SUB-COMMAND [FLAGS]\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands {
		_, _ = fmt.Fprintf(tw, "  %s\t%s\n", c.Name, c.Summary)
	}
	_ = tw.Flush()
	_, _ = fmt.Fprintf(w, "\noleandersill SUB-COMMAND --help shows flags and an example.\n"+
		"exit codes: 0 done, 1 failed, 2 usage or invalid document, 3 conflict, 4 unknown or unavailable\n")
}

func runCommand(ctx context.Context, env *Env, c Command, args []string) int {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	run := c.Setup(fs, env)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintf(env.Stdout, "%s: %s\n\nexample:\n  %s\n\nflags:\n", c.Name, c.Summary, c.Example)
		fs.SetOutput(env.Stdout)
		fs.PrintDefaults()
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "oleandersill %s: %s; see --help\n", c.Name, err)
		return ExitUsage
	}
	if fs.NArg() > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "oleandersill %s: unexpected argument %q\n", c.Name, fs.Arg(0))
		return ExitUsage
	}
	return reportError(env, c.Name, run(ctx, env))
}

// reportError prints an error to standard error and returns the exit code. EPIPE counts as success: the reader that closed
// the pipe needs no more output.
func reportError(env *Env, name string, err error) int {
	var failure *Failure
	var problems validation.Problems
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return ExitOK
	case errors.As(err, &problems):
		_, _ = fmt.Fprintln(env.Stderr, problems.Error())
		return ExitUsage
	case errors.As(err, &failure):
		if failure.Message != "" {
			_, _ = fmt.Fprintf(env.Stderr, "oleandersill %s: %s\n", name, failure.Message)
		}
		return failure.Code
	}
	_, _ = fmt.Fprintf(env.Stderr, "oleandersill %s: %s\n", name, err)
	return ExitFailed
}
