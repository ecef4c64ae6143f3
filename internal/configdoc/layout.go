package configdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

// Keys of the store.
const (
	KeyHead     = "config/head"
	PrefixRoots = "config/roots/"
	PrefixParts = "config/parts/"
	// KeyCollector is held under a lease by the one instance that removes unused parts.
	KeyCollector = "config/collector"
)

// MaxPartBytes is the size above which a service's shards are divided over several parts.
const MaxPartBytes = 256 << 10

// ErrCorrupt means that a stored value does not match its hash or cannot be decoded.
var ErrCorrupt = errors.New("configdoc: corrupt value")

// Hash is the SHA-256 of a value, in hexadecimal.
type Hash string

// PartName names a part within a configuration: "rules", "fleet", or "service/<name>/<n>".
type PartName string

// Names of the parts that every configuration has.
const (
	PartRules PartName = "rules"
	PartFleet PartName = "fleet"
)

const prefixService = "service/"

// Root names the parts of one revision and says who made it, when and why.
type Root struct {
	Revision model.Revision    `json:"revision"`
	Parts    map[PartName]Hash `json:"parts"`
	Editor   string            `json:"editor"`
	// TimeMs is when the revision was made, in Unix milliseconds.
	TimeMs   int64  `json:"time_ms"`
	Reason   string `json:"reason"`
	Previous Hash   `json:"previous,omitempty"`
}

// Part is an immutable piece of a configuration.
type Part struct {
	Hash  Hash
	Value []byte
}

// fleetPart is the inventory without its services.
type fleetPart struct {
	MaxInstances   int              `json:"max_instances"`
	SurgeInstances int              `json:"surge_instances"`
	Zones          []model.ZoneSpec `json:"zones"`
	// Services gives the order of services and how many parts each has.
	Services []servicePart `json:"services"`
}

type servicePart struct {
	Name  model.ServiceName `json:"name"`
	Parts int               `json:"parts"`
}

// HashOf returns the hash of a value.
func HashOf(value []byte) Hash {
	sum := sha256.Sum256(value)
	return Hash(hex.EncodeToString(sum[:]))
}

// IsHash tells whether a hash has the form that HashOf gives.
func IsHash(h Hash) bool {
	raw, err := hex.DecodeString(string(h))
	return err == nil && len(raw) == sha256.Size
}

// Encode returns the stored form of a root. Its hash identifies the revision in the audit trail.
func (r *Root) Encode() []byte { return encode(r) }

// DecodeRoot decodes a stored root.
func DecodeRoot(value []byte) (*Root, error) {
	var r Root
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "configdoc: root"), ErrCorrupt)
	}
	return &r, nil
}

// SortedParts returns the part names in order.
func (r *Root) SortedParts() []PartName { return slices.Sorted(maps.Keys(r.Parts)) }

// Split divides a configuration into parts.
func Split(inv model.Inventory, rules model.Rules) map[PartName]Part {
	parts := map[PartName]Part{PartRules: newPart(rules)}
	fleet := fleetPart{MaxInstances: inv.MaxInstances, SurgeInstances: inv.SurgeInstances, Zones: inv.Zones}
	for _, svc := range inv.Services {
		pieces := splitService(svc)
		for i, p := range pieces {
			parts[serviceKey(svc.Name, i)] = newPart(p)
		}
		fleet.Services = append(fleet.Services, servicePart{Name: svc.Name, Parts: len(pieces)})
	}
	parts[PartFleet] = newPart(fleet)
	return parts
}

func serviceKey(name model.ServiceName, i int) PartName {
	var b strings.Builder
	b.WriteString(prefixService)
	b.WriteString(string(name))
	b.WriteByte('/')
	b.WriteString(strconv.Itoa(i))
	return PartName(b.String())
}

// splitService divides a service's shards so that each piece stays below MaxPartBytes. Piece boundaries depend only on
// the shards before them, so an edit of one shard changes one piece as a rule.
func splitService(svc model.ServiceSpec) []model.ServiceSpec {
	piece := model.ServiceSpec{Name: svc.Name, ShardMapEpoch: svc.ShardMapEpoch}
	var pieces []model.ServiceSpec
	size := 0
	for _, sh := range svc.Shards {
		n := len(encode(sh))
		if size+n > MaxPartBytes && len(piece.Shards) > 0 {
			pieces = append(pieces, piece)
			piece = model.ServiceSpec{Name: svc.Name, ShardMapEpoch: svc.ShardMapEpoch}
			size = 0
		}
		piece.Shards = append(piece.Shards, sh)
		size += n
	}
	return append(pieces, piece)
}

// Join rebuilds a configuration from its parts, checking every hash. get returns a part's value, or nil if it is missing.
func Join(root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
	return JoinOn(nil, root, get)
}

// JoinOn is Join with the services that the root has in common with base taken from base, whose values must not be
// changed any more. base may be nil.
func JoinOn(base *Base, root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
	var inv model.Inventory
	var rules model.Rules
	var fleet fleetPart
	if err := load(root, PartRules, get, &rules); err != nil {
		return inv, rules, err
	}
	if err := load(root, PartFleet, get, &fleet); err != nil {
		return inv, rules, err
	}
	inv = model.Inventory{MaxInstances: fleet.MaxInstances, SurgeInstances: fleet.SurgeInstances, Zones: fleet.Zones}
	for _, s := range fleet.Services {
		if svc, ok := base.service(root, s); ok {
			inv.Services = append(inv.Services, svc)
			continue
		}
		svc, err := joinService(root, s, get)
		if err != nil {
			return inv, rules, err
		}
		inv.Services = append(inv.Services, svc)
	}
	return inv, rules, nil
}

func joinService(root *Root, s servicePart, get func(Hash) []byte) (model.ServiceSpec, error) {
	var svc model.ServiceSpec
	for i := range s.Parts {
		var piece model.ServiceSpec
		if err := load(root, serviceKey(s.Name, i), get, &piece); err != nil {
			return svc, err
		}
		shards := append(svc.Shards, piece.Shards...)
		svc = piece
		svc.Shards = shards
	}
	return svc, nil
}

func load(root *Root, name PartName, get func(Hash) []byte, into any) error {
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
