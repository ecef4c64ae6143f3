package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ErrKeyMalformed means that a key is not a UUIDv7.
var ErrKeyMalformed = errors.New("claim: key is not a UUIDv7")

// keyVersion is the UUID version of keys; it is the one that sorts by time and carries it in milliseconds.
const keyVersion = 7

// Key is an idempotency key in its canonical form, so that two spellings of one key share one claim.
type Key struct {
	text string
	at   time.Time
}

// ParseKey reads a key, or returns ErrKeyMalformed.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrKeyMalformed
	}
	sec, nsec := id.Time().UnixTime()
	return Key{text: id.String(), at: time.Unix(sec, nsec)}, nil
}

// String returns the canonical form.
func (k Key) String() string { return k.text }

// Time returns when the key was made, by its maker's clock.
func (k Key) Time() time.Time { return k.at }

// Digest identifies the content of a request. Each part is preceded by its length, so that no two contents share a
// digest by moving bytes from one part to the next.
func Digest(parts ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}
