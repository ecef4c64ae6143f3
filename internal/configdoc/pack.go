package configdoc

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/platform"
)

// Pack compresses a value with gzip. Daemons keep values compressed and send them to peers in this form.
func Pack(value []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes into a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return bytes.Clone(buf.Bytes())
}

// Unpack decompresses a value. It returns ErrCorrupt if the value cannot be decompressed, is longer than
// platform.MaxValueBytes, or does not have the given hash.
func Unpack(hash Hash, packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configdoc: unpacking"), ErrCorrupt)
	}
	value, err := io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configdoc: unpacking"), ErrCorrupt)
	}
	if len(value) > platform.MaxValueBytes || HashOf(value) != hash {
		return nil, errors.Wrapf(ErrCorrupt, "value %s", hash)
	}
	return value, nil
}
