package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/httpapi"
)

// Environment variables that give defaults.
const (
	EnvDaemon  = "OLEANDERSILL_DAEMON"
	EnvCallers = "OLEANDERSILL_CALLERS"
	// EnvToken holds the operators' token. It is no flag, since other users of a host can see a process's arguments.
	EnvToken = "OLEANDERSILL_TOKEN" //nolint:gosec // the name of a variable
)

const maxReplyBytes = 256 << 20

// Client speaks to one port of a daemon.
type Client struct {
	address   string
	tokenFile string
	timeout   time.Duration
	getenv    func(string) string
}

// OperatorFlags declares the flags of a client of the operators' port.
func OperatorFlags(fs *flag.FlagSet, env *Env) *Client {
	c := &Client{getenv: env.Getenv}
	fs.StringVar(&c.address, "daemon", or(env.Getenv(EnvDaemon), "127.0.0.1:7202"),
		"operators' `address` of any daemon; default from "+EnvDaemon)
	fs.StringVar(&c.tokenFile, "token-file", "", "`file` with the bearer token; default is the token in "+EnvToken)
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "bound on the whole request")
	return c
}

// CallerFlags declares the flags of a client of the callers' port.
func CallerFlags(fs *flag.FlagSet, env *Env) *Client {
	c := &Client{}
	fs.StringVar(&c.address, "address", or(env.Getenv(EnvCallers), "127.0.0.1:7201"),
		"callers' `address` of any daemon; default from "+EnvCallers)
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "bound on the whole request")
	return c
}

func or(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

// Request is one call of a daemon.
type Request struct {
	Method string
	// Path includes the query string.
	Path   string
	Header map[string]string
	// Body is encoded as JSON; nil sends none.
	Body any
}

// Reply is a daemon's answer.
type Reply struct {
	Status int
	Body   []byte
}

// NoReplyError is the error of a request to which no complete reply arrived.
type NoReplyError struct {
	// Sent tells whether the daemon may have received the request.
	Sent  bool
	cause error
}

// Error implements error.
func (l *NoReplyError) Error() string {
	if l.Sent {
		return "no answer: " + l.cause.Error()
	}
	return "the daemon was not reached: " + l.cause.Error()
}

// Do sends a request. The error is a *Failure or, if no reply arrived, a *NoReplyError.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := c.build(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Reply{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}, &NoReplyError{Sent: sent.Load(), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{}, &NoReplyError{Sent: true, cause: err}
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}

func (c *Client) build(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		data, err := json.Marshal(r.Body)
		if err != nil {
			return nil, Failf(ExitUsage, "the request cannot be encoded: %s", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address+r.Path, body)
	if err != nil {
		return nil, Failf(ExitUsage, "%s", err)
	}
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	token, err := c.token()
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req, err
}

func (c *Client) token() (string, error) {
	if c.tokenFile == "" {
		if c.getenv == nil {
			return "", nil
		}
		return c.getenv(EnvToken), nil
	}
	data, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", Failf(ExitUsage, "reading the token: %s", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// Get sends a GET and decodes the answer. Any other status than 200 is a Failure.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	reply, err := c.Do(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return UnavailableFailure(err)
	}
	if reply.Status != http.StatusOK {
		return reply.Failure()
	}
	return reply.Decode(into)
}

// UnavailableFailure converts a *NoReplyError into a *Failure with ExitUnknown and returns other errors unchanged. It is
// for requests that had no effect or that are safe to repeat.
func UnavailableFailure(err error) error {
	if lost, ok := err.(*NoReplyError); ok { //nolint:errorlint // Do returns it unwrapped
		return Failf(ExitUnknown, "%s", lost)
	}
	return err
}

// Decode decodes an answer.
func (r Reply) Decode(into any) error {
	if err := json.Unmarshal(r.Body, into); err != nil {
		return Failf(ExitFailed, "the answer with status %d is not understood: %s", r.Status, err)
	}
	return nil
}

// Failure describes a refusal, with the exit code that its status stands for.
func (r Reply) Failure() error {
	var p httpapi.Problem
	message := fmt.Sprintf("the daemon answered with status %d", r.Status)
	if json.Unmarshal(r.Body, &p) == nil && p.Code != "" {
		message = p.Code + ": " + p.Detail
	}
	return &Failure{Code: exitOf(r.Status), Message: message, ProblemCode: p.Code}
}

func exitOf(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ExitUsage
	case http.StatusConflict:
		return ExitConflict
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitFailed
}
