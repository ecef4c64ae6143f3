package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ErrKeyMalformed is returned by ParseKey for a key that is not a UUIDv7.
var ErrKeyMalformed = errors.New("claim: key is not a UUIDv7")

// keyVersion is the UUID version of keys. Version 7 contains the creation time in milliseconds and sorts by it.
const keyVersion = 7

// Key is an idempotency key in canonical form, so that all spellings of a key refer to the same claim.
type Key struct {
	text    string
	created time.Time
}

// ParseKey parses a UUIDv7 in any spelling that package uuid accepts. Its only error is ErrKeyMalformed.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrKeyMalformed
	}
	sec, nsec := id.Time().UnixTime()
	return Key{text: id.String(), created: time.Unix(sec, nsec)}, nil
}

// String returns the canonical form.
func (k Key) String() string { return k.text }

// Time returns when the key was created, by the clock of the caller that created it.
func (k Key) Time() time.Time { return k.created }

// Digest returns a hash that identifies the content of a request. Each part is prefixed with its length, so that moving bytes
// from one part to the next changes the digest.
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
