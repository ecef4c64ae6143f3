package backend

import (
	"net/http"

	"oleandersill.example/oleandersill/internal/model"
)

// Message is a caller's request that is passed on to servers unchanged. It is immutable, so that several attempts can share
// it.
type Message struct {
	// ID is the caller's request ID, which a server's reply repeats.
	ID     string
	Method string
	// Target is the path and query string as the caller sent them.
	Target string
	Host   string
	// Header holds the headers for the server.
	Header http.Header
	Body   []byte
}

// MessageReply is a server's complete reply to a Message, or the merged reply of several servers.
type MessageReply struct {
	StatusCode int
	// Header holds the headers for the caller.
	Header http.Header
	Body   []byte
	// Signatures prove that the reply comes from the servers. A server's reply has one, or none if the server sent none, and a
	// merged reply has one for each shard.
	Signatures []string
	// Shards lists the shards of a merged reply, whose body cannot be split again; nil for the reply of one server.
	Shards []model.ShardName
}

// maxStatusCode is the highest status code of HTTP.
const maxStatusCode = 599

// IsFinalStatus reports whether code is the status of a final HTTP response. Any other status, such as 0 or 101, is no answer
// to a message, and net/http cannot write all of them.
func IsFinalStatus(code int) bool { return code >= http.StatusOK && code <= maxStatusCode }

// Successful reports whether the reply has a 2xx status and at least one signature.
func (r *MessageReply) Successful() bool {
	return r != nil && r.StatusCode >= 200 && r.StatusCode < 300 && len(r.Signatures) > 0
}
