package platformserver

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
)

// maxWaitMs is the longest time that a watch waits, in milliseconds.
const maxWaitMs = 60_000

func (s *Server) get(c *call) {
	e, err := s.data.Get(c.r.Context(), c.r.PathValue("key"))
	c.setResult(platformhttp.EntryBodyOf(e), err)
}

func (s *Server) list(c *call) {
	entries, err := s.data.List(c.r.Context(), c.r.URL.Query().Get("prefix"))
	out := make([]platformhttp.EntryBody, 0, len(entries))
	for _, e := range entries {
		out = append(out, platformhttp.EntryBodyOf(e))
	}
	c.setResult(out, err)
}

func (s *Server) watch(c *call) {
	after, ok := c.uintParam("after")
	if !ok {
		return
	}
	waitMs, ok := c.uintParam("wait_ms")
	if !ok {
		return
	}
	wait := time.Duration(min(waitMs, maxWaitMs)) * time.Millisecond
	e, err := s.data.Watch(c.r.Context(), c.r.PathValue("key"), platform.Version(after), wait)
	c.setResult(platformhttp.EntryBodyOf(e), err)
}

func (s *Server) instances(c *call) {
	q := c.r.URL.Query()
	list, err := s.data.Instances(c.r.Context(), platform.InstanceQuery{
		Role:  platform.InstanceRole(q.Get("role")),
		Zone:  model.AvailabilityZone(q.Get("zone")),
		State: platform.InstanceState(q.Get("state")),
	})
	c.setResult(list, err)
}
