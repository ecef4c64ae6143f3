// Package quota takes tokens of the workspaces' quotas: for the requests of callers, as the agent of a region, and as the owner of a
// workspace. It also returns the tokens of requests that were not run, and asks the other zones for the confirmations without which
// an owner grants nothing. Package decision/quota makes the decisions, tables.Quotas holds the accounts.
//
// Handlers of messages never wait for another daemon. A request that has to wait for messages either leads the round of its workspace
// or waits for the leader; settlements and confirmations run on the workers of one pool.
package quota
