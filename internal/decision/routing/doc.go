// Package routing decides which replica of a shard gets an attempt. It compares two random choices among the candidates
// with the lowest expected times, ejects failing servers, probes ejected ones and ramps up the load of cold ones.
package routing
