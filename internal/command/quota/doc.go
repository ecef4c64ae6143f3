// Package quota takes tokens of the workspaces' quotas: for the requests of callers, and as the owner of a workspace in this daemon's
// zone. It also returns the tokens of requests that were not run. Package decision/quota makes the decisions, tables.Quotas holds the
// accounts.
//
// Handlers of messages never wait for another daemon. A request that has to wait for messages either leads the round of its workspace
// or waits for the leader; returns run on the workers of a pool.
package quota
