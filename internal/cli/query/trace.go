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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

func setupTrace(fs *flag.FlagSet, _ *cli.Env) cli.RunFunc {
	id := fs.String("id", "", "id of the request, as its caller sent it")
	path := fs.String("log", "-", "file with the log lines, - for standard input")
	return func(_ context.Context, env *cli.Env) error {
		if *id == "" {
			return cli.Failf(cli.ExitUsage, "-id is missing")
		}
		lines, err := readLines(*path)
		if err != nil {
			return cli.Failf(cli.ExitUsage, "%s", err)
		}
		found := trace(lines, *id)
		if len(found) == 0 {
			return cli.Failf(cli.ExitFailed, "no line names the request %s", *id)
		}
		_, err = io.WriteString(env.Stdout, strings.Join(found, "\n")+"\n")
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

// belief matches the events that change what a daemon believes: of servers, zones, the store and the configuration.
var belief = regexp.MustCompile(`event=(server_|zone_|store_|routing_|topology_)`)

// trace returns the lines of a request in order, with the last line before it of each kind of event that changed a belief
// about a server or a service that the request's lines name, or about the store, a zone or the configuration.
func trace(lines []string, id string) []string {
	last := -1
	var named []string
	for i, line := range lines {
		if !hasField(line, "id", id) {
			continue
		}
		last = i
		named = append(named, namesIn(line)...)
	}
	keep := map[int]bool{}
	seen := map[string]bool{}
	for i := last; i >= 0; i-- {
		switch kind := belief.FindString(lines[i]); {
		case hasField(lines[i], "id", id):
			keep[i] = true
		case kind == "":
		case kind == "event=server_":
			keep[i] = slices.ContainsFunc(namesIn(lines[i]), func(n string) bool { return slices.Contains(named, n) })
		case !seen[kind]:
			seen[kind] = true
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

// fields that name servers and services.
var naming = regexp.MustCompile(`(?:server|service|missing_services)=(\[[^\]]*\]|\S+)`)

// namesIn returns the servers and services that a line names.
func namesIn(line string) []string {
	var names []string
	for _, m := range naming.FindAllStringSubmatch(line, -1) {
		list := strings.NewReplacer("[", "", "]", "", "\"", "").Replace(m[1])
		names = append(names, strings.Split(list, ",")...)
	}
	return names
}

// hasField tells whether a line has a field with the given value.
func hasField(line, key, value string) bool {
	return strings.Contains(" "+line+" ", " "+key+"="+value+" ")
}
