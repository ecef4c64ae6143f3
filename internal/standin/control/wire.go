package control

import (
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

// ServerFaults is the wire form of backendserver.Faults, with times in milliseconds.
type ServerFaults struct {
	Draining          bool               `json:"draining"`
	SlowFactor        float64            `json:"slow_factor"`
	LatencyMs         float64            `json:"latency_ms"`
	Silent            bool               `json:"silent"`
	CutOff            []model.InstanceID `json:"cut_off"`
	LostReplies       float64            `json:"lost_replies"`
	CrossedReplies    float64            `json:"crossed_replies"`
	DuplicatedReplies float64            `json:"duplicated_replies"`
	LateReplies       float64            `json:"late_replies"`
	LateByMs          float64            `json:"late_by_ms"`
	FailedRequests    float64            `json:"failed_requests"`
	Health            *backend.Health    `json:"health"`
	Load              *backend.Load      `json:"load"`
	FrozenReports     bool               `json:"frozen_reports"`
}

func (f *ServerFaults) toFaults() backendserver.Faults {
	return backendserver.Faults{
		Draining: f.Draining, SlowFactor: f.SlowFactor, Latency: durationFromMs(f.LatencyMs), Silent: f.Silent, CutOff: f.CutOff,
		LostReplies: f.LostReplies, CrossedReplies: f.CrossedReplies, DuplicatedReplies: f.DuplicatedReplies,
		LateReplies: f.LateReplies, LateBy: durationFromMs(f.LateByMs), FailedRequests: f.FailedRequests,
		Health: f.Health, Load: f.Load, FrozenReports: f.FrozenReports,
	}
}

// PlatformFaults is the wire form of platformserver.Faults, with times in milliseconds.
type PlatformFaults struct {
	Down            bool                     `json:"down"`
	Silent          bool                     `json:"silent"`
	CutOffInstances []model.InstanceID       `json:"cut_off_instances"`
	CutOffZones     []model.AvailabilityZone `json:"cut_off_zones"`
	DelayMs         float64                  `json:"delay_ms"`
	LostReplies     float64                  `json:"lost_replies"`
	StaleByMs       float64                  `json:"stale_by_ms"`
	ListLagMs       float64                  `json:"list_lag_ms"`
	ReadsPerSecond  int                      `json:"reads_per_second"`
	WritesPerSecond int                      `json:"writes_per_second"`
}

func (f *PlatformFaults) toFaults() platformserver.Faults {
	return platformserver.Faults{
		Down: f.Down, Silent: f.Silent, CutOffInstances: f.CutOffInstances, CutOffZones: f.CutOffZones,
		Delay: durationFromMs(f.DelayMs), LostReplies: f.LostReplies, StaleBy: durationFromMs(f.StaleByMs),
		ListLag:        durationFromMs(f.ListLagMs),
		ReadsPerSecond: f.ReadsPerSecond, WritesPerSecond: f.WritesPerSecond,
	}
}

func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// VersionChange sets the current index version of a server. The server keeps up to Retain previous versions.
type VersionChange struct {
	Version model.IndexVersion `json:"version"`
	Retain  int                `json:"retain"`
}

// ShardChange sets the shard that a server holds under the shard map of Epoch. The server keeps answering requests under
// up to Retain previous shard maps.
type ShardChange struct {
	Shard  model.ShardName     `json:"shard"`
	Epoch  model.ShardMapEpoch `json:"shard_map_epoch"`
	Retain int                 `json:"retain"`
}

// ServerState is the load of a server and its connection counters.
type ServerState struct {
	Load                backend.Load `json:"load"`
	OpenConnections     int          `json:"open_connections"`
	PeakConnections     int          `json:"peak_connections"`
	AcceptedConnections int          `json:"accepted_connections"`
	RefusedConnections  int          `json:"refused_connections"`
}

// Executions counts the executions of all servers of the site.
type Executions struct {
	Started int                       `json:"started"`
	ByEnd   map[backendserver.End]int `json:"by_end"`
	// RunsByKey counts the executions of non-idempotent requests by key.
	RunsByKey map[string]int `json:"runs_by_key"`
}
