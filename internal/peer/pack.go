package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/platform"
)

// ErrCorrupt means that a value cannot be unpacked or does not match its hash.
var ErrCorrupt = errors.New("peer: corrupt value")

// Pack compresses a value.
func Pack(hash configdoc.Hash, value []byte) PackedPart {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes into a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return PackedPart{Hash: hash, Gzip: buf.Bytes()}
}

// Unpack returns the value, which is at most platform.MaxValueBytes, or ErrCorrupt.
func (p PackedPart) Unpack() ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "peer: unpacking"), ErrCorrupt)
	}
	value, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "peer: unpacking"), ErrCorrupt)
	}
	if len(value) > platform.MaxValueBytes || configdoc.HashOf(value) != p.Hash {
		return nil, errors.Wrapf(ErrCorrupt, "value %s", p.Hash)
	}
	return value, nil
}
