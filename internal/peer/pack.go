package peer

import (
	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
)

// ErrCorrupt means that a value cannot be decompressed, is too large, or does not match its hash.
var ErrCorrupt = errors.New("peer: corrupt value")

// Pack returns the value in compressed form with its hash.
func Pack(hash configdoc.Hash, value []byte) PackedPart {
	return PackedPart{Hash: hash, Gzip: configdoc.Pack(value)}
}

// Unpack returns the decompressed value, which has at most platform.MaxValueBytes bytes, or ErrCorrupt.
func (p PackedPart) Unpack() ([]byte, error) {
	value, err := configdoc.Unpack(p.Hash, p.Gzip)
	return value, errors.Mark(errors.Wrap(err, "peer"), ErrCorrupt)
}
