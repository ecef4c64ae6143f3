package peer

import (
	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/model"
)

// Service names and methods.
const (
	ServiceCommands = "PeerCommands"
	ServiceQueries  = "PeerQueries"

	MethodNotice  = ServiceCommands + ".Notice"
	MethodLeaving = ServiceCommands + ".Leaving"
	MethodDigest  = ServiceQueries + ".Digest"
	MethodParts   = ServiceQueries + ".Parts"
	MethodStatus  = ServiceQueries + ".Status"
	MethodForward = ServiceQueries + ".Forward"
)

// MaxDepartures bounds the leaving servers in a message, MaxHashes the values asked for in a call, and MaxPartsBytes the
// compressed values in a reply.
const (
	MaxDepartures = 128
	MaxHashes     = 64
	MaxPartsBytes = 1 << 20
)

// Digest is what a daemon tells about itself and others. An exchange is a Digest in each direction.
type Digest struct {
	From       model.Member
	InForce    model.Offer
	Members    []model.Sighting
	Departures []model.Departure
	// StoreContactMs is when the store last answered, as far as the sender knows, in Unix milliseconds, or 0.
	StoreContactMs int64
}

// Notice tells of a revision that the sender has put in force.
type Notice struct {
	From    model.Member
	InForce model.Offer
}

// Leaving tells of backend servers that are leaving.
type Leaving struct {
	From       model.Member
	Departures []model.Departure
}

// Empty is the reply to a command.
type Empty struct{}

// PartsRequest asks for roots and parts by hash.
type PartsRequest struct {
	Hashes []configdoc.Hash
}

// PartsReply holds the values that the peer has, as many as fit; the caller asks again for the others.
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
