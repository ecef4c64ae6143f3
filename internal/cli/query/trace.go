package query

import (
	"bufio"
	"context"
	"flag"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"oleandersill.example/oleandersill/internal/cli"
)

func traceCommand() cli.Command {
	return cli.Command{
		Name:    "trace",
		Summary: "show a request's decisions in daemons' logs, with what changed about its servers before",
		Example: "oleandersill trace -id 9c41d07be2a35f68 -log daemon.log",
		Setup:   setupTrace,
	}
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

func setupTrace(fs *flag.FlagSet, _ *cli.Env) cli.RunFunc {
	id := fs.String("id", "", "id of the request, as its caller sent it")
	path := fs.String("log", "-", "file with the log lines, - for standard input")
	return func(_ context.Context, env *cli.Env) error {
		if *id == "" {
			return cli.Failf(cli.ExitUsage, "-id is required")
		}
		lines, err := readLines(*path)
		if err != nil {
			return cli.Failf(cli.ExitUsage, "%s", err)
		}
		matching := trace(lines, *id)
		if len(matching) == 0 {
			return cli.Failf(cli.ExitFailed, "no log line has the request id %s", *id)
		}
		_, err = io.WriteString(env.Stdout, strings.Join(matching, "\n")+"\n")
		return err
	}
}

func readLines(path string) ([]string, error) {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path) //nolint:gosec // the user names the file
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []string
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// stateEvent matches the events that change a daemon's view of the servers, the zones, the store and the configuration.
var stateEvent = regexp.MustCompile(`event=(server_|zone_|store_|routing_|topology_)`)

// trace returns, in order, the lines of a request and the state events before its last line that may explain it: every
// server event that shares a server or a service with the request's lines, and the last event of each other kind.
func trace(lines []string, id string) []string {
	lastLine := -1
	var requestTargets []string
	for i, line := range lines {
		if !hasField(line, "id", id) {
			continue
		}
		lastLine = i
		requestTargets = append(requestTargets, targets(line)...)
	}
	keep := map[int]bool{}
	seenKinds := map[string]bool{}
	for i := lastLine; i >= 0; i-- {
		switch kind := stateEvent.FindString(lines[i]); {
		case hasField(lines[i], "id", id):
			keep[i] = true
		case kind == "":
		case kind == "event=server_":
			keep[i] = slices.ContainsFunc(targets(lines[i]), func(n string) bool { return slices.Contains(requestTargets, n) })
		case !seenKinds[kind]:
			seenKinds[kind] = true
			keep[i] = true
		}
	}
	var out []string
	for i, line := range lines {
		if keep[i] {
			out = append(out, line)
		}
	}
	return out
}

// targetFields matches the fields that name servers and services.
var targetFields = regexp.MustCompile(`(?:server|service|missing_services)=(\[[^\]]*\]|\S+)`)

// targets returns the servers and services that a line names.
func targets(line string) []string {
	var names []string
	for _, m := range targetFields.FindAllStringSubmatch(line, -1) {
		list := strings.NewReplacer("[", "", "]", "", "\"", "").Replace(m[1])
		names = append(names, strings.Split(list, ",")...)
	}
	return names
}

// hasField reports whether a line has a field with the given value.
func hasField(line, key, value string) bool {
	return strings.Contains(" "+line+" ", " "+key+"="+value+" ")
}
