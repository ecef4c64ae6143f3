package queryrpc

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/digest"
	"oleandersill.example/oleandersill/internal/forwarding"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/query/status"
	"oleandersill.example/oleandersill/internal/tables"
)

// Observer is told what a peer's query showed about the fleet.
type Observer interface {
	// ObserveDigest records the digest that a peer sent.
	ObserveDigest(peer.Digest)
}

// Receiver takes batches of forwarded sub-requests.
type Receiver interface {
	// Receive queues a batch and returns at once.
	Receive(forwarding.Batch) forwarding.Receipt
}

// Service answers peers. Its exported methods are the methods of PeerQueries.
type Service struct {
	digests  *digest.Builder
	config   *tables.Config
	status   *status.Reader
	observer Observer
	receiver Receiver
	seed     uint64
	draws    atomic.Uint64
}

// ErrNotForwarding means that this daemon takes no sub-requests of others.
var ErrNotForwarding = errors.New("queryrpc: forwarding is off")

// New returns the service.
func New(d *digest.Builder, c *tables.Config, s *status.Reader, o Observer, seed uint64) *Service {
	return &Service{digests: d, config: c, status: s, observer: o, seed: seed}
}

// SetReceiver sets what takes forwarded sub-requests. Call it before the service is used.
func (s *Service) SetReceiver(r Receiver) { s.receiver = r }

// Forward takes a batch of sub-requests, results and cancellations.
func (s *Service) Forward(b forwarding.Batch, reply *forwarding.Receipt) error {
	if s.receiver == nil {
		return ErrNotForwarding
	}
	*reply = s.receiver.Receive(b)
	return nil
}

// Digest answers a digest with this daemon's own.
func (s *Service) Digest(sent peer.Digest, reply *peer.Digest) error {
	s.observer.ObserveDigest(sent)
	rnd := rand.New(rand.NewPCG(s.seed, s.draws.Add(1))) //nolint:gosec // the choice of entries needs no secrecy
	*reply = s.digests.Build(time.Now(), rnd)
	return nil
}

// Parts returns the root and parts of the revision in force that are asked for, as many as fit into a reply and at
// least one.
func (s *Service) Parts(req peer.PartsRequest, reply *peer.PartsReply) error {
	doc := s.config.Document()
	size := 0
	for _, hash := range req.Hashes[:min(len(req.Hashes), peer.MaxHashes)] {
		packed, ok := doc.Values[hash]
		if !ok {
			continue
		}
		p := peer.PackedPart{Hash: hash, Gzip: packed}
		if size += len(p.Gzip); size > peer.MaxPartsBytes && len(reply.Parts) > 0 {
			return nil
		}
		reply.Parts = append(reply.Parts, p)
	}
	return nil
}

// Status returns the daemon's status.
func (s *Service) Status(_ peer.StatusRequest, reply *status.Status) error {
	*reply = s.status.Read(time.Now())
	return nil
}
