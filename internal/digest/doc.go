// Package digest builds the gossip digests that a daemon sends to a peer, with the state of the daemon and of other members.
// Both sides of an exchange use it: package fleet, which starts the exchange, and package queryrpc, which replies.
package digest
