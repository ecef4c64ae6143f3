// Package routing decides which replica of a shard gets an attempt: two candidates drawn at random, compared by
// expected time, with ejection of failing servers, half-open probes and ramp-up of cold ones.
package routing
