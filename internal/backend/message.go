package backend

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/model"
)

// Message is a caller's request that is passed on to servers unchanged. It is not changed once it is made, so that several
// attempts can share it.
type Message struct {
	// ID is the caller's id of the request; a server's reply names it.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that are meant for the server.
	Header http.Header
	Body   []byte
}

// MessageReply is a server's whole answer to a Message.
type MessageReply struct {
	StatusCode int
	// Header holds the headers that are meant for the caller.
	Header http.Header
	Body   []byte
	// Signatures are the servers' proofs that the reply is their own: one for a server's reply, none if it gave none, and one
	// for each shard of a merged reply.
	Signatures []string
	// Shards names the shards of a merged reply, whose body cannot be taken apart; nil for the reply of one server.
	Shards []model.ShardName
}

// Successful tells whether the server answered with success and signed the answer.
func (r *MessageReply) Successful() bool {
	return r != nil && r.StatusCode >= 200 && r.StatusCode < 300 && len(r.Signatures) > 0
}
