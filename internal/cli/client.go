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

// Environment variables that configure the client.
const (
	EnvDaemon  = "OLEANDERSILL_DAEMON"
	EnvCallers = "OLEANDERSILL_CALLERS"
	// EnvToken holds the operators' token. There is no flag for the token itself, because other users of the host can
	// see a process's arguments.
	EnvToken = "OLEANDERSILL_TOKEN" //nolint:gosec // the name of a variable
)

const maxReplyBytes = 256 << 20

// Client sends HTTP requests to one port of a daemon.
type Client struct {
	address   string
	tokenFile string
	timeout   time.Duration
	getenv    func(string) string
}

// OperatorFlags declares the flags of a client for the operators' port and returns the client, for use once they are
// parsed.
func OperatorFlags(fs *flag.FlagSet, env *Env) *Client {
	c := &Client{getenv: env.Getenv}
	fs.StringVar(&c.address, "daemon", firstNonEmpty(env.Getenv(EnvDaemon), "127.0.0.1:7202"),
		"operators' `address` of any daemon; default from "+EnvDaemon)
	fs.StringVar(&c.tokenFile, "token-file", "", "`file` with the bearer token; default is the token in "+EnvToken)
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "bound on the whole request")
	return c
}

// CallerFlags declares the flags of a client for the callers' port and returns the client, for use once they are
// parsed. It sends no token.
func CallerFlags(fs *flag.FlagSet, env *Env) *Client {
	c := &Client{}
	fs.StringVar(&c.address, "address", firstNonEmpty(env.Getenv(EnvCallers), "127.0.0.1:7201"),
		"callers' `address` of any daemon; default from "+EnvCallers)
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "bound on the whole request")
	return c
}

func firstNonEmpty(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

// Request is an HTTP request to a daemon.
type Request struct {
	Method string
	// Path includes the query string.
	Path   string
	Header map[string]string
	// Body is encoded as JSON; nil sends no body.
	Body any
}

// Reply is a daemon's reply to a Request.
type Reply struct {
	Status int
	Body   []byte
}

// NoReplyError is the error of a request to which no complete reply arrived.
type NoReplyError struct {
	// Sent reports whether the daemon may have received the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e *NoReplyError) Error() string {
	if e.Sent {
		return "no answer: " + e.cause.Error()
	}
	return "the daemon was not reached: " + e.cause.Error()
}

var errReplyTooLarge = fmt.Errorf("the reply is larger than %d bytes", maxReplyBytes)

// Do sends a request. The error is a *Failure or, if no reply arrived, a *NoReplyError.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Reply{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}, &NoReplyError{Sent: sent.Load(), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errReplyTooLarge
	}
	if err != nil {
		return Reply{}, &NoReplyError{Sent: true, cause: err}
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
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

// Get sends a GET request and decodes the reply. A status other than 200 returns a *Failure.
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
	if noReply, ok := err.(*NoReplyError); ok { //nolint:errorlint // Do returns it unwrapped
		return Failf(ExitUnknown, "%s", noReply)
	}
	return err
}

// Decode decodes the JSON body of a reply.
func (r Reply) Decode(into any) error {
	if err := json.Unmarshal(r.Body, into); err != nil {
		return Failf(ExitFailed, "the reply with status %d cannot be decoded: %s", r.Status, err)
	}
	return nil
}

// Failure returns a *Failure that describes a refusal, with the exit code for its status.
func (r Reply) Failure() error {
	var p httpapi.Problem
	message := fmt.Sprintf("the daemon answered with status %d", r.Status)
	if json.Unmarshal(r.Body, &p) == nil && p.Code != "" {
		message = p.Code + ": " + p.Detail
	}
	return &Failure{Code: exitCodeForStatus(r.Status), Message: message, ProblemCode: p.Code}
}

func exitCodeForStatus(status int) int {
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
