package peer

import (
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
)

// Names of the net/rpc services and their methods.
const (
	ServiceCommands = "PeerCommands"
	ServiceQueries  = "PeerQueries"

	MethodNotice  = ServiceCommands + ".Notice"
	MethodLeaving = ServiceCommands + ".Leaving"
	MethodDigest  = ServiceQueries + ".Digest"
	MethodParts   = ServiceQueries + ".Parts"
	MethodStatus  = ServiceQueries + ".Status"
	MethodForward = ServiceQueries + ".Forward"

	MethodTakeQuota = ServiceCommands + ".TakeQuota"
)

// Limits on the content of messages.
const (
	// MaxDepartures is the maximum number of leaving servers in a message.
	MaxDepartures = 128
	// MaxHashes is the maximum number of values that a PartsRequest asks for.
	MaxHashes = 64
	// MaxPartsBytes is the maximum total size of the compressed values in a PartsReply.
	MaxPartsBytes = 1 << 20
)

// Digest is a gossip message with the state of the sender and its information about other daemons and leaving servers. In an
// exchange, each side sends a Digest.
type Digest struct {
	From       model.Member
	InForce    model.Offer
	Members    []model.MemberReport
	Departures []model.Departure
	// StoreContactMs is the latest time at which the store is known to the sender to have answered, in Unix milliseconds, or 0.
	StoreContactMs int64
}

// Notice announces the configuration revision that the sender has put in force.
type Notice struct {
	From    model.Member
	InForce model.Offer
}

// Leaving announces backend servers that are leaving.
type Leaving struct {
	From       model.Member
	Departures []model.Departure
}

// Empty is the reply to a command.
type Empty struct{}

// PartsRequest asks for roots and parts of the configuration by hash.
type PartsRequest struct {
	Hashes []configdoc.Hash
}

// PartsReply holds those of the requested values that the peer has and that fit; the requester asks for the others again.
type PartsReply struct {
	Parts []PackedPart
}

// PackedPart is one value, compressed with gzip.
type PackedPart struct {
	Hash configdoc.Hash
	Gzip []byte
}

// StatusRequest asks for a peer's status.
type StatusRequest struct{}
