package control

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
)

func (h *Handler) setServerFaults(w http.ResponseWriter, r *http.Request, s *backendserver.Server) {
	var body ServerFaults
	if !decode(w, r, &body) {
		return
	}
	s.SetFaults(body.toFaults())
	h.log.Info().Str("server", r.PathValue("name")).Interface("faults", body).Msg("server_faults_set")
}

func (h *Handler) crash(_ http.ResponseWriter, r *http.Request, s *backendserver.Server) {
	s.Crash()
	h.log.Info().Str("server", r.PathValue("name")).Msg("server_crashed")
}

func (h *Handler) restart(w http.ResponseWriter, r *http.Request, s *backendserver.Server) {
	if err := s.Restart(); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	h.log.Info().Str("server", r.PathValue("name")).Msg("server_restarted")
}

func (h *Handler) setVersion(w http.ResponseWriter, r *http.Request, s *backendserver.Server) {
	var body VersionChange
	if !decode(w, r, &body) {
		return
	}
	s.SetVersion(body.Version, max(0, body.Retain))
	h.log.Info().Str("server", r.PathValue("name")).Uint64("version", uint64(body.Version)).Msg("index_version_set")
}

func (h *Handler) setShard(w http.ResponseWriter, r *http.Request, s *backendserver.Server) {
	var body ShardChange
	if !decode(w, r, &body) {
		return
	}
	s.Repartition(body.Shard, body.Epoch, max(0, body.Retain))
	h.log.Info().Str("server", r.PathValue("name")).Str("shard", string(body.Shard)).
		Uint64("shard_map_epoch", uint64(body.Epoch)).Msg("shard_set")
}

func (h *Handler) setPlatformFaults(w http.ResponseWriter, r *http.Request) {
	var body PlatformFaults
	if !decode(w, r, &body) {
		return
	}
	h.site.Platform.SetFaults(body.toFaults())
	h.log.Info().Interface("faults", body).Msg("platform_faults_set")
}

func (h *Handler) setInstances(w http.ResponseWriter, r *http.Request) {
	var body []platform.Instance
	if !decode(w, r, &body) {
		return
	}
	h.site.Platform.SetInstances(body)
	h.log.Info().Int("instances", len(body)).Msg("instances_set")
}
