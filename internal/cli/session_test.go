package cli_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/cli/command"
	"oleandersill.example/oleandersill/internal/cli/query"
	"oleandersill.example/oleandersill/internal/daemon"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/settings"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestCLI(t *testing.T) { suite.Run(t, "./internal/cli") }

const (
	changeToken = "token-of-an-editor"
	readToken   = "token-of-a-reader"
)

// session runs the tool against one daemon and records a transcript.
type session struct {
	dir        string
	env        map[string]string
	transcript bytes.Buffer
	log        *gbytes.Buffer
}

func (s *session) run(args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	env := &cli.Env{Stdout: &stdout, Stderr: &stderr, Getenv: func(name string) string { return s.env[name] }}
	code := cli.Run(context.Background(), env, s.expand(args), slices.Concat(query.All(), command.All()))
	_, _ = fmt.Fprintf(&s.transcript, "$ oleandersill %s\n%s%sexit %d\n\n", strings.Join(args, " "), &stdout, &stderr, code)
	return code, stdout.String()
}

// expand replaces DIR in the arguments with the session's directory.
func (s *session) expand(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = strings.ReplaceAll(a, "DIR", s.dir)
	}
	return out
}

// replacements hide the values that differ between runs.
var replacements = []struct {
	pattern     *regexp.Regexp
	placeholder string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{64}`), "HASH"},
	{regexp.MustCompile(`time_ms: \d+`), "time_ms: TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d{5}`), "ADDRESS"},
}

func (s *session) normalised() string {
	text := strings.ReplaceAll(s.transcript.String(), s.dir, "DIR")
	for _, r := range replacements {
		text = r.pattern.ReplaceAllString(text, r.placeholder)
	}
	return text
}

// startSession starts a platform stand-in and a daemon, and writes the documents of a small configuration.
func startSession() *session {
	platform := httptest.NewServer(platformserver.New())
	DeferCleanup(platform.Close)
	return startDaemon("i1", platform.URL)
}

// startDaemon starts a daemon that uses the platform at url.
func startDaemon(instance model.InstanceID, url string) *session {
	s := &session{dir: GinkgoT().TempDir(), log: gbytes.NewBuffer()}
	cfg := settings.Defaults()
	cfg.Instance, cfg.Zone, cfg.Region = instance, "z1", "north"
	cfg.CallerAddress, cfg.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0"
	cfg.PlatformAddress = strings.TrimPrefix(url, "http://")
	cfg.DrainGraceMs = 0
	cfg.OperatorToken, cfg.OperatorReadToken = changeToken, readToken
	d, err := daemon.Start(cfg, zerolog.New(s.log))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Stop)
	s.env = map[string]string{
		cli.EnvDaemon: d.OperatorAddress(), cli.EnvCallers: d.CallerAddress(), cli.EnvToken: changeToken, "USER": "anna",
	}
	s.write("inventory.yaml", inventoryDoc)
	s.write("rules.yaml", rulesDoc)
	return s
}

func (s *session) write(name, content string) {
	Expect(os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600)).To(Succeed())
}

// awaitRevision waits until the daemon has a revision in force. The transcript does not show it.
func (s *session) awaitRevision(revision int) {
	before := s.transcript.Len()
	Eventually(func() string { _, out := s.run("status", "-o", "yaml"); return out }).WithTimeout(10 * time.Second).
		Should(ContainSubstring(fmt.Sprintf("\nrevision: %d\n", revision)))
	s.transcript.Truncate(before)
}

func documentFlags(inventory string) []string {
	return []string{"-inventory", "DIR/" + inventory, "-rules", "DIR/rules.yaml"}
}

func joinArgs(args ...any) []string {
	var out []string
	for _, a := range args {
		switch v := a.(type) {
		case string:
			out = append(out, strings.Fields(v)...)
		case []string:
			out = append(out, v...)
		}
	}
	return out
}

var _ = Describe("the operators' tool", func() {
	// Guards against unintended changes of the output and exit codes of the operators' common tasks, and against tokens in
	// the output or the daemon's log. UPDATE_GOLDEN=1 rewrites the golden file.
	It("prints what the golden file contains", func() {
		s := startSession()
		s.write("b.yaml", strings.Replace(inventoryDoc, "slots: 2", "slots: 3", 1))
		s.write("c.yaml", strings.Replace(inventoryDoc, "max_instances: 8", "max_instances: 9", 1))
		s.write("bad.yaml", strings.Replace(inventoryDoc, "zone: z1", "zone: z9", 1))
		ok, bad := documentFlags("inventory.yaml"), documentFlags("bad.yaml")
		s.run("get")
		s.run(joinArgs("validate", ok)...)
		s.run(joinArgs("validate", bad)...)
		s.run(joinArgs("plan", ok)...)
		s.run(joinArgs("apply", ok)...)
		s.run(joinArgs("apply -expect 0 -reason first", ok)...)
		s.run(joinArgs("apply -expect 0 -reason first", ok)...)
		s.run(joinArgs("plan", documentFlags("b.yaml"))...)
		s.run(joinArgs("apply -expect 1 -reason slots", documentFlags("b.yaml"))...)
		s.run(joinArgs("apply -expect 1 -reason fleet -editor ben", documentFlags("c.yaml"))...)
		s.run(joinArgs("apply -expect 1 -reason fleet -editor ben -merge", documentFlags("c.yaml"))...)
		s.run(joinArgs("apply -expect 9 -reason early", ok)...)
		s.run(joinArgs("apply -expect 3 -reason bad", bad)...)
		s.run(joinArgs("rollback -to 1 -expect 3 -reason slow")...)
		s.run(joinArgs("rollback -to 8 -expect 4 -reason slow")...)
		s.run("get")
		s.run("get", "-revision", "7")
		s.run("audit", "-limit", "3")
		s.run("audit", "-o", "yaml", "-limit", "1")
		s.env[cli.EnvToken] = readToken
		s.run("rollback", "-to", "1", "-expect", "4", "-reason", "read token")
		s.run("audit", "-limit", "1")
		s.awaitRevision(4)
		s.run("status")
		s.run("drain")
		s.env[cli.EnvToken] = "wrong"
		s.run("audit", "-limit", "1")
		s.env[cli.EnvToken] = changeToken
		s.run("drain")
		golden := filepath.Join("testdata", "session.golden")
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(golden, []byte(s.normalised()), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(golden)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.normalised()).To(Equal(string(want)))
		Expect(string(s.log.Contents()) + s.transcript.String()).NotTo(ContainSubstring("token-of-"))
	})

	// Guards against documents in which get omits or changes a value.
	It("writes documents with get in which plan finds no change", func() {
		s := startSession()
		s.run(joinArgs("apply -expect 0 -reason first", documentFlags("inventory.yaml"))...)
		code, _ := s.run("get", "-inventory-out", "DIR/i.yaml", "-rules-out", "DIR/r.yaml")
		Expect(code).To(Equal(cli.ExitOK))
		_, out := s.run("plan", "-inventory", "DIR/i.yaml", "-rules", "DIR/r.yaml")
		Expect(out).To(HavePrefix("no change"))
	})

	// Guards against a script that cannot tell an unreachable daemon from a rejected change.
	It("exits with 4 if the daemon does not answer", func() {
		s := &session{env: map[string]string{cli.EnvDaemon: "127.0.0.1:1", "USER": "anna"}}
		for _, args := range [][]string{{"get"}, {"audit"}, {"status"}, {"drain"}, joinArgs("rollback -to 1 -expect 1 -reason x")} {
			code, _ := s.run(args...)
			Expect(code).To(Equal(cli.ExitUnknown), args[0])
		}
	})

	// Guards against a sub-command without an example.
	It("prints an example for each sub-command with --help", func() {
		for _, c := range slices.Concat(query.All(), command.All()) {
			s := &session{env: map[string]string{}}
			code, _ := s.run(c.Name, "--help")
			Expect(code).To(Equal(cli.ExitOK))
			Expect(s.transcript.String()).To(ContainSubstring("example:\n  oleandersill " + c.Name))
		}
	})

	// Guards against an exit code that reports a failure when, for example, head exits after the first lines.
	It("exits with 0 when the reader of its output has closed the pipe", func() {
		env := &cli.Env{Stdout: closedPipe{}, Stderr: &bytes.Buffer{}, Getenv: func(string) string { return "" }}
		Expect(cli.Run(context.Background(), env, []string{"version"}, query.All())).To(Equal(cli.ExitOK))
	})

	// Guards against an operator who takes an interrupted change for one that was not made.
	It("exits with 4 and advises to repeat the command when it is interrupted during a change", func() {
		s := startSession()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		unanswered := httptest.NewServer(unansweredHandler(cancel))
		DeferCleanup(unanswered.Close)
		s.env[cli.EnvDaemon] = strings.TrimPrefix(unanswered.URL, "http://")
		var stderr bytes.Buffer
		env := &cli.Env{Stdout: &bytes.Buffer{}, Stderr: &stderr, Getenv: func(name string) string { return s.env[name] }}
		args := s.expand(joinArgs("apply -expect 0 -reason first", documentFlags("inventory.yaml")))
		Expect(cli.Run(ctx, env, args, command.All())).To(Equal(cli.ExitUnknown))
		Expect(stderr.String()).To(ContainSubstring("Run the same command again"))
	})
})

// closedPipe is a writer that fails like a pipe whose reader has closed it.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, errors.Join(syscall.EPIPE) }
