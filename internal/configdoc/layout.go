package configdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// Keys and key prefixes of the store.
const (
	KeyHead = "config/head"
	// PrefixRoots and a hash form the key of the record of a root.
	PrefixRoots = "config/roots/"
	// PrefixParts and a hash form the key of a part.
	PrefixParts = "config/parts/"
	// KeyCollector is held under a lease by the one instance that removes unused parts.
	KeyCollector = "config/collector"
)

// ErrCorrupt means that a stored value does not match its hash or cannot be decoded.
var ErrCorrupt = errors.New("configdoc: corrupt value")

// Hash is the SHA-256 of a value, in hexadecimal.
type Hash string

// PartName names a part within a configuration: "rules", "fleet", "service/<name>" for a service's first part, or
// "service/<name>/<shard>" for a further part of the service, which begins with that shard.
type PartName string

// Names of the parts that every configuration has.
const (
	PartRules PartName = "rules"
	PartFleet PartName = "fleet"
)

const prefixService = "service/"

// Root lists the parts of one revision with its editor, time and reason.
type Root struct {
	Revision model.Revision `json:"revision"`
	// Parts has the hash of each part. It is nil in the record of a root with a PartsHash.
	Parts map[PartName]Hash `json:"parts,omitempty"`
	// PartsHash is the hash of the encoded Parts; it is empty in roots written before records were introduced.
	PartsHash Hash `json:"parts_hash,omitempty"`
	// Before has the hash that each changed part had in the previous revision, or "" for a new part.
	Before map[PartName]Hash `json:"before,omitempty"`
	Editor string            `json:"editor"`
	// TimeMs is when the revision was made, in Unix milliseconds.
	TimeMs int64  `json:"time_ms"`
	Reason string `json:"reason"`
	// Previous is the hash of the previous revision's record.
	Previous Hash `json:"previous,omitempty"`
}

// Part is an immutable, separately stored section of a configuration.
type Part struct {
	Hash  Hash
	Value []byte
}

// fleetPart is the content of PartFleet: the limits and zones of the inventory, and the layout of its services.
type fleetPart struct {
	MaxInstances   int              `json:"max_instances"`
	SurgeInstances int              `json:"surge_instances"`
	Zones          []model.ZoneSpec `json:"zones"`
	// Services lists the services in the order of the inventory.
	Services []serviceLayout `json:"services"`
}

// serviceLayout lists the parts of one service.
type serviceLayout struct {
	Name model.ServiceName `json:"name"`
	// Further has the name of the first shard of each part after the first part.
	Further []model.ShardName `json:"further,omitempty"`
}

// HashOf returns the hash of a value.
func HashOf(value []byte) Hash {
	sum := sha256.Sum256(value)
	return Hash(hex.EncodeToString(sum[:]))
}

// IsHash reports whether h is a SHA-256 in hexadecimal. It accepts upper-case digits too, which HashOf does not return.
func IsHash(h Hash) bool {
	raw, err := hex.DecodeString(string(h))
	return err == nil && len(raw) == sha256.Size
}

// Encode returns the JSON encoding of a root, which is stored as the head and exchanged between daemons.
func (r *Root) Encode() []byte { return encode(r) }

// DecodeRoot decodes a root or its record; see Root.Record. It returns ErrCorrupt if the value cannot be decoded, or if the
// root has both Parts and PartsHash and they do not match.
func DecodeRoot(value []byte) (*Root, error) {
	var r Root
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configdoc: root"), ErrCorrupt)
	}
	if r.PartsHash != "" && r.Parts != nil && HashOf(encode(r.Parts)) != r.PartsHash {
		return nil, errors.Wrapf(ErrCorrupt, "the record of revision %d is of other parts", r.Revision)
	}
	return &r, nil
}

// SortedParts returns the names of the root's parts, sorted.
func (r *Root) SortedParts() []PartName { return slices.Sorted(maps.Keys(r.Parts)) }

// loadPart decodes a part of the root and checks its hash.
func loadPart(root *Root, name PartName, get func(Hash) []byte, into any) error {
	hash, ok := root.Parts[name]
	if !ok {
		return errors.Wrapf(ErrCorrupt, "revision %d has no part %s", root.Revision, name)
	}
	value := get(hash)
	if value == nil || HashOf(value) != hash {
		return errors.Wrapf(ErrCorrupt, "part %s is missing or does not match its hash", name)
	}
	return errors.Mark(errors.Wrapf(json.Unmarshal(value, into), "configdoc: part %s", name), ErrCorrupt)
}

func newPart(v any) Part {
	value := encode(v)
	return Part{Hash: HashOf(value), Value: value}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("configdoc: value cannot be encoded: " + err.Error())
	}
	return b
}
