// Package queryrpc is the peers' net/rpc encoding of the queries: the service PeerQueries. It decides nothing.
package queryrpc
