package backendserver

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Defaults of Config.
const (
	DefaultQueue      = 8
	DefaultRetryAfter = 50 * time.Millisecond
	// NoQueue as Config.Queue sheds every request that finds no free slot.
	NoQueue = -1
)

// Config describes one server. Only Shard and Slots are required.
type Config struct {
	Name    model.ServerName
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the number of requests that wait for a slot; 0 means DefaultQueue.
	Queue int
	// RetryAfter is the hint given with a shed request; 0 means DefaultRetryAfter.
	RetryAfter time.Duration
	// ServiceTime is the least time for which a request holds a slot.
	ServiceTime time.Duration
	// Spread is the mean of an exponentially distributed addition to ServiceTime.
	Spread time.Duration
	// TailRatio is the fraction of requests, in [0, 1], that take TailFactor times as long.
	TailRatio  float64
	TailFactor float64
	// Seed makes service times and fault draws reproducible.
	Seed uint64
	// Items is the number of matches in the shard.
	Items int
	// ColdFor is how long after a start requests take ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// Connections is the number of connections open at a time; 0 means no limit. It applies to Start.
	Connections int
	// ConnectionCost is the time that each new connection takes. It applies to Start.
	ConnectionCost time.Duration
	// Record takes the executions; nil means a record of the server's own.
	Record *Record
}

func (c Config) withDefaults() Config {
	switch c.Queue {
	case 0:
		c.Queue = DefaultQueue
	case NoQueue:
		c.Queue = 0
	}
	if c.RetryAfter == 0 {
		c.RetryAfter = DefaultRetryAfter
	}
	if c.Record == nil {
		c.Record = NewRecord()
	}
	return c
}
