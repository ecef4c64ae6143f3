package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
	"oleandersill.example/oleandersill/internal/pool"
)

// maxBodyBytes bounds the size of request bodies. It leaves room for the base64 encoding of a value larger than
// platform.MaxValueBytes, which the data refuses and which is then answered with 413.
const maxBodyBytes = 4 * platform.MaxValueBytes

// call is an HTTP request with its response.
type call struct {
	r    *http.Request
	body []byte
	// status and reply are the response that the handler sets; a nil reply sends no body.
	status int
	reply  any
}

// handle registers a handler to which faults, rate limits and counters are applied.
func (s *Server) handle(pattern string, kind Kind, handler func(*call)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind, handler) })
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, kind Kind, handler func(*call)) {
	c := &call{r: r, status: http.StatusOK}
	bytesOut := 0
	withinLimit := s.table.countCall(kind, s.now())
	defer func() { s.table.countBytes(kind, int64(len(c.body)), int64(bytesOut)) }()
	var err error
	// net/http detects that the client has closed its connection only once the whole body has been read.
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	f := s.table.current()
	ignored := s.ignores(r, &f)
	if !ignored {
		pool.Sleep(r.Context(), f.Delay)
	}
	switch {
	case ignored || r.Context().Err() != nil:
		s.leaveUnanswered(r, kind)
	case f.Down:
		c.status = http.StatusServiceUnavailable
	case !withinLimit:
		c.status = http.StatusTooManyRequests
	default:
		handler(c)
		s.applyReplyFaults(c, kind)
	}
	bytesOut = c.write(w)
}

// ignores reports whether the platform leaves the caller's calls unanswered.
func (s *Server) ignores(r *http.Request, f *Faults) bool {
	zone := model.AvailabilityZone(r.Header.Get(platformhttp.HeaderZone))
	return f.ignores(model.InstanceID(r.Header.Get(platformhttp.HeaderInstance)), zone)
}

// leaveUnanswered holds a call until its caller disconnects, and sends no response.
func (s *Server) leaveUnanswered(r *http.Request, kind Kind) {
	s.table.countUnanswered(kind)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// applyReplyFaults leaves a call unanswered whose caller was cut off while the call was being handled, and closes the
// connection of a write that took effect if its reply is to be lost.
func (s *Server) applyReplyFaults(c *call, kind Kind) {
	if f := s.table.current(); s.ignores(c.r, &f) {
		s.leaveUnanswered(c.r, kind)
	}
	if kind.isWrite() && c.status == http.StatusOK && s.table.drawLostReply() {
		panic(http.ErrAbortHandler)
	}
}

// setResult sets the response: the reply, or the status for the error.
func (c *call) setResult(reply any, err error) {
	switch {
	case err == nil:
		c.reply = reply
	case errors.Is(err, platform.ErrConflict):
		c.status = http.StatusConflict
	case errors.Is(err, platform.ErrNotFound):
		c.status = http.StatusNotFound
	case errors.Is(err, platform.ErrTooLarge):
		c.status = http.StatusRequestEntityTooLarge
	case errors.Is(err, platform.ErrUnavailable):
		c.status = http.StatusServiceUnavailable
	default:
		c.status = http.StatusInternalServerError
	}
}

// decode decodes the body and reports whether it is well formed; if not, it sets status 400.
func (c *call) decode(into any) bool {
	if json.Unmarshal(c.body, into) != nil {
		c.status = http.StatusBadRequest
		return false
	}
	return true
}

// uintParam parses a parameter of the query string and reports whether it is well formed; if not, it sets status 400.
func (c *call) uintParam(name string) (uint64, bool) {
	n, err := strconv.ParseUint(c.r.URL.Query().Get(name), 10, 64)
	if err != nil {
		c.status = http.StatusBadRequest
	}
	return n, err == nil
}

// write sends the response and returns the size of its body.
func (c *call) write(w http.ResponseWriter) int {
	if c.reply == nil {
		w.WriteHeader(c.status)
		return 0
	}
	encoded, err := json.Marshal(c.reply)
	if err != nil {
		panic("platformserver: reply cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(c.status)
	// If the write fails, the client has disconnected.
	_, _ = w.Write(encoded)
	return len(encoded)
}
