// Package queryrpc implements the net/rpc service PeerQueries, which answers the queries of peers. It only encodes and
// decodes them; other packages make the decisions.
package queryrpc
