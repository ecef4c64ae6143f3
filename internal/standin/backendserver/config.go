package backendserver

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// Defaults of Config.
const (
	DefaultQueue      = 8
	DefaultRetryAfter = 50 * time.Millisecond
	// NoQueue as Config.Queue makes the server shed every request that arrives while no slot is free.
	NoQueue = -1
)

// Config configures a Server. Only Shard and Slots are required.
type Config struct {
	Name    model.ServerName
	Shard   model.ShardName
	Epoch   model.ShardMapEpoch
	Version model.IndexVersion
	// Slots is the number of requests that can run concurrently.
	Slots int
	// Queue is the number of requests that can wait for a slot; 0 means DefaultQueue.
	Queue int
	// RetryAfter is the retry delay that the reply to a shed request suggests; 0 means DefaultRetryAfter.
	RetryAfter time.Duration
	// ServiceTime is the minimum time for which a request occupies a slot.
	ServiceTime time.Duration
	// Spread is the mean of an exponentially distributed addition to ServiceTime.
	Spread time.Duration
	// TailRatio is the fraction of requests, in [0, 1], that take TailFactor times as long.
	TailRatio  float64
	TailFactor float64
	// Seed makes the service times and the random choice of faults reproducible.
	Seed uint64
	// Items is the number of items in the shard that match a query.
	Items int
	// ColdFor is the time after a start during which requests take ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// Connections is the largest number of open connections; 0 means no limit. It applies to Start.
	Connections int
	// ConnectionCost is the time that accepting each connection takes. It applies to Start.
	ConnectionCost time.Duration
	// Record is the record to which executions are added; nil means a new one.
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
