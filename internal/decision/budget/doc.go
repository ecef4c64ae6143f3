// Package budget limits extra attempts (hedges and retries) to a ratio of the sub-requests in a sliding window, for one daemon
// or for a fleet of daemons, and estimates the latency quantile after which a hedge is sent.
package budget
