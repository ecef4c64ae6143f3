package platformhttp

import (
	"time"

	"oleandersill.example/oleandersill/internal/platform"
)

// Paths of the platform's API. A key follows PathWatch; a slash and a key or a lease id may follow PathKV and PathLeases.
const (
	PathKV        = "/v1/kv"
	PathWatch     = "/v1/watch/"
	PathLeases    = "/v1/leases"
	PathInstances = "/v1/instances"
)

// Headers in which a client identifies itself.
const (
	HeaderInstance = "X-Instance"
	HeaderZone     = "X-Zone"
)

// EntryBody is one key with its value, which JSON encodes as base64.
type EntryBody struct {
	Key          string           `json:"key"`
	Value        []byte           `json:"value,omitempty"`
	Version      platform.Version `json:"version"`
	ModifiedAtMs int64            `json:"modified_at_ms"`
}

// EntryBodyOf returns the wire form of an entry.
func EntryBodyOf(e platform.Entry) EntryBody {
	return EntryBody{Key: e.Key, Value: e.Value, Version: e.Version, ModifiedAtMs: e.ModifiedAt.UnixMilli()}
}

// Entry returns the entry that e encodes.
func (e EntryBody) Entry() platform.Entry {
	return platform.Entry{
		Key: e.Key, Value: e.Value, Version: e.Version, ModifiedAt: time.UnixMilli(e.ModifiedAtMs),
	}
}

// PutBody is the body of a PUT.
type PutBody struct {
	Value []byte `json:"value"`
}

// VersionBody is the reply to a PUT. It holds the new version, or the current one if the status is 409.
type VersionBody struct {
	Version platform.Version `json:"version"`
}

// GrantBody is the body of a lease request, and LeaseBody its reply.
type GrantBody struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseBody identifies a lease.
type LeaseBody struct {
	ID platform.LeaseID `json:"id"`
}
