// Package digest builds the gossip digests in which a daemon tells a peer about itself and others. Both sides of an exchange
// use it: the fleet command that starts an exchange, and the peers' query that answers it.
package digest
