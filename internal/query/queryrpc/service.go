package queryrpc

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/internal/digest"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/query/status"
	"oleandersill.example/oleandersill/internal/tables"
)

// Observer is notified of the state of the fleet that peers report in their queries.
type Observer interface {
	// ObserveDigest records the digest that a peer sent.
	ObserveDigest(peer.Digest)
}

// Service answers peers. Its exported methods, with those of ForwardService, are the methods of PeerQueries.
type Service struct {
	ForwardService
	digests  *digest.Builder
	config   *tables.Config
	status   *status.Reader
	observer Observer
	seed     uint64
	// digestCount gives each digest a random sequence of its own.
	digestCount atomic.Uint64
}

// New returns a Service. seed is for the random choice of the entries in its digests.
func New(d *digest.Builder, c *tables.Config, s *status.Reader, o Observer, seed uint64) *Service {
	return &Service{digests: d, config: c, status: s, observer: o, seed: seed}
}

// Digest passes a peer's digest to the observer and replies with this daemon's own.
func (s *Service) Digest(sent peer.Digest, reply *peer.Digest) error {
	s.observer.ObserveDigest(sent)
	rng := rand.New(rand.NewPCG(s.seed, s.digestCount.Add(1))) //nolint:gosec // the choice of entries needs no secrecy
	*reply = s.digests.Build(time.Now(), rng)
	return nil
}

// Parts replies with the requested values, root or parts, of the revision in force: as many as fit into a reply, but at least
// one.
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

// Status replies with the daemon's status.
func (s *Service) Status(_ peer.StatusRequest, reply *status.Status) error {
	*reply = s.status.Read(time.Now())
	return nil
}
