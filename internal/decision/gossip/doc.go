// Package gossip holds the decisions of the gossip protocol between daemons: which peer to exchange digests with, which
// peers to notify of a new configuration revision, whether to accept an offered revision, which daemons watch the store
// for a zone, and which members are alive. It also decides which daemon to follow for changes of the platform's store,
// and how old the data from that store may become.
package gossip
