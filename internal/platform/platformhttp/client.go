package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
)

const (
	maxReplyBytes  = 64 << 20
	dialTimeout    = 2 * time.Second
	maxConnections = 8
)

// Client implements platform.Store and platform.InstanceList.
type Client struct {
	base     string
	http     *http.Client
	instance model.InstanceID
	zone     model.AvailabilityZone
	// lastContact is when the platform last replied, or nil.
	lastContact atomic.Pointer[time.Time]
}

// New returns a client of the platform at address, host:port.
func New(address string) *Client {
	return NewWithDialer(address, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewWithDialer returns a client of the platform at address that opens its connections with dial.
func NewWithDialer(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			DisableCompression:  true,
		}, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect prevents net/http from following a redirect, which could send a write a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Identify sets the caller that the client states in HeaderInstance and HeaderZone. Call it before the client is used.
func (c *Client) Identify(instance model.InstanceID, zone model.AvailabilityZone) {
	c.instance, c.zone = instance, zone
}

// LastContact returns when the platform last replied, or the zero time if it has not replied yet.
func (c *Client) LastContact() time.Time {
	if at := c.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Reader.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var e EntryBody
	err := c.do(ctx, http.MethodGet, PathKV+"/"+url.PathEscape(key), nil, &e)
	return e.Entry(), err
}

// List implements platform.Reader.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var es []EntryBody
	err := c.do(ctx, http.MethodGet, PathKV+"?prefix="+url.QueryEscape(prefix), nil, &es)
	out := make([]platform.Entry, 0, len(es))
	for _, e := range es {
		out = append(out, e.Entry())
	}
	return out, err
}

// Watch implements platform.Reader.
func (c *Client) Watch(ctx context.Context, key string, after platform.Version, wait time.Duration) (
	platform.Entry, error,
) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var e EntryBody
	err := c.do(ctx, http.MethodGet, PathWatch+url.PathEscape(key)+"?"+q.Encode(), nil, &e)
	return e.Entry(), err
}

// Put implements platform.Writer.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID) (
	platform.Version, error,
) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	q := url.Values{}
	q.Set("expect", strconv.FormatUint(uint64(expect), 10))
	if lease != "" {
		q.Set("lease", string(lease))
	}
	var v VersionBody
	err := c.do(ctx, http.MethodPut, PathKV+"/"+url.PathEscape(key)+"?"+q.Encode(), PutBody{Value: value}, &v)
	return v.Version, err
}

// Delete implements platform.Writer.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Version) error {
	q := "?expect=" + strconv.FormatUint(uint64(expect), 10)
	return c.do(ctx, http.MethodDelete, PathKV+"/"+url.PathEscape(key)+q, nil, nil)
}

// Grant implements platform.Writer.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var l LeaseBody
	err := c.do(ctx, http.MethodPost, PathLeases, GrantBody{TTLMs: ttl.Milliseconds()}, &l)
	return l.ID, err
}

// Renew implements platform.Writer.
func (c *Client) Renew(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, http.MethodPost, PathLeases+"/"+url.PathEscape(string(id))+"/renew", nil, nil)
}

// Revoke implements platform.Writer.
func (c *Client) Revoke(ctx context.Context, id platform.LeaseID) error {
	return c.do(ctx, http.MethodDelete, PathLeases+"/"+url.PathEscape(string(id)), nil, nil)
}

// Instances implements platform.InstanceList.
func (c *Client) Instances(ctx context.Context, q platform.InstanceQuery) ([]platform.Instance, error) {
	v := url.Values{}
	v.Set("role", string(q.Role))
	v.Set("zone", string(q.Zone))
	v.Set("state", string(q.State))
	var out []platform.Instance
	err := c.do(ctx, http.MethodGet, PathInstances+"?"+v.Encode(), nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic("platformhttp: request body cannot be encoded: " + err.Error())
		}
		reader = bytes.NewReader(encoded)
	}
	connected := false
	trace := &httptrace.ClientTrace{
		// net/http gets another connection for a request only if nothing was written on the previous one, because writes are
		// not replayable.
		GetConn: func(string) { connected = false },
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, reader)
	if err != nil {
		return errors.Wrap(err, "platformhttp: building request")
	}
	req.Header.Set(HeaderInstance, string(c.instance))
	req.Header.Set(HeaderZone, string(c.zone))
	resp, err := c.http.Do(req)
	if err != nil {
		return requestError(err, method, connected)
	}
	defer func() { _ = resp.Body.Close() }()
	now := time.Now()
	c.lastContact.Store(&now)
	return decodeReply(resp, method, into)
}

// requestError wraps err in ErrUnknown if the request may have taken effect, and in ErrUnavailable otherwise. It wraps both
// with fmt.Errorf, because the standard library's errors.Is does not see the marks of cockroachdb/errors.
func requestError(err error, method string, connected bool) error {
	kind := platform.ErrUnavailable
	if connected && method != http.MethodGet {
		kind = platform.ErrUnknown
	}
	return fmt.Errorf("platformhttp: %w: %w", kind, err)
}

// decodeReply decodes the reply into into, unless that is nil, or returns the error that the status code stands for.
func decodeReply(resp *http.Response, method string, into any) error {
	switch resp.StatusCode {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		// net/http reuses the connection only if the body was read to its end.
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		if err == nil {
			err = json.Unmarshal(data, into)
		}
		if err != nil {
			return requestError(err, method, true)
		}
		return nil
	case http.StatusConflict:
		return platform.ErrConflict
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusRequestEntityTooLarge:
		return platform.ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrapf(platform.ErrUnavailable, "status %d", resp.StatusCode)
	}
	return requestError(errors.Newf("status %d", resp.StatusCode), method, true)
}
