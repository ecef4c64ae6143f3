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

// maxBodyBytes leaves room for a value above platform.MaxValueBytes in base64, so that it is answered with 413.
const maxBodyBytes = 4 * platform.MaxValueBytes

// call is one call with its reply on the wire.
type call struct {
	r    *http.Request
	body []byte
	// status and reply are what the handler answers with.
	status int
	reply  any
}

// handle registers a handler behind the faults, the rate limits and the counters.
func (s *Server) handle(pattern string, kind Kind, h func(*call)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind, h) })
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, kind Kind, h func(*call)) {
	c := &call{r: r, status: http.StatusOK}
	out := 0
	within := s.table.arrive(kind, s.now())
	defer func() { s.table.leave(kind, int64(len(c.body)), int64(out)) }()
	var err error
	// Reading the whole body lets net/http notice from then on when the client closes its connection.
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
		s.abandon(r, kind)
	case f.Down:
		c.status = http.StatusServiceUnavailable
	case !within:
		c.status = http.StatusTooManyRequests
	default:
		h(c)
		s.cutAfter(c, kind)
	}
	out = c.write(w)
}

// ignores tells whether the platform is silent to the caller.
func (s *Server) ignores(r *http.Request, f *Faults) bool {
	zone := model.AvailabilityZone(r.Header.Get(platformhttp.HeaderZone))
	return f.ignores(model.InstanceID(r.Header.Get(platformhttp.HeaderInstance)), zone)
}

// abandon leaves a call without an answer until its caller gives up.
func (s *Server) abandon(r *http.Request, kind Kind) {
	s.table.abandon(kind)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// cutAfter cuts the connection of a write that took effect and whose reply is to be lost, and leaves a call unanswered
// whose caller was cut off while it waited.
func (s *Server) cutAfter(c *call, kind Kind) {
	if f := s.table.current(); s.ignores(c.r, &f) {
		s.abandon(c.r, kind)
	}
	if kind.isWrite() && c.status == http.StatusOK && s.table.loseReply() {
		panic(http.ErrAbortHandler)
	}
}

// end sets the answer: the reply, or the status that stands for the error.
func (c *call) end(reply any, err error) {
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

// decode reads the body and tells whether it was well formed.
func (c *call) decode(into any) bool {
	if json.Unmarshal(c.body, into) != nil {
		c.status = http.StatusBadRequest
		return false
	}
	return true
}

// number reads a parameter of the query string and tells whether it was well formed.
func (c *call) number(name string) (uint64, bool) {
	n, err := strconv.ParseUint(c.r.URL.Query().Get(name), 10, 64)
	if err != nil {
		c.status = http.StatusBadRequest
	}
	return n, err == nil
}

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
	// The client is gone if the write fails.
	_, _ = w.Write(encoded)
	return len(encoded)
}
