package platformserver

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/platform/platformhttp"
)

func (s *Server) put(c *call) {
	var body platformhttp.PutBody
	expect, ok := c.uintParam("expect")
	if !ok || !c.decode(&body) {
		return
	}
	lease := platform.LeaseID(c.r.URL.Query().Get("lease"))
	v, err := s.data.Put(c.r.Context(), c.r.PathValue("key"), body.Value, platform.Version(expect), lease)
	c.setResult(platformhttp.VersionBody{Version: v}, err)
}

func (s *Server) deleteKey(c *call) {
	expect, ok := c.uintParam("expect")
	if !ok {
		return
	}
	c.setResult(nil, s.data.Delete(c.r.Context(), c.r.PathValue("key"), platform.Version(expect)))
}

func (s *Server) grant(c *call) {
	var body platformhttp.GrantBody
	if !c.decode(&body) {
		return
	}
	if body.TTLMs <= 0 {
		c.status = http.StatusBadRequest
		return
	}
	id, err := s.data.Grant(c.r.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	c.setResult(platformhttp.LeaseBody{ID: id}, err)
}

func (s *Server) renew(c *call) {
	c.setResult(nil, s.data.Renew(c.r.Context(), platform.LeaseID(c.r.PathValue("id"))))
}

func (s *Server) revoke(c *call) {
	c.setResult(nil, s.data.Revoke(c.r.Context(), platform.LeaseID(c.r.PathValue("id"))))
}
