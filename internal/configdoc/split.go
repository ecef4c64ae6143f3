package configdoc

import (
	"hash/fnv"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// MaxPartBytes is the largest size of a part that holds more than one shard.
	MaxPartBytes = 256 << 10
	// minPieceBytes is the size from which a part of a service may end.
	minPieceBytes = 16 << 10
	// boundaryEvery is the mean number of shards after minPieceBytes until a part ends. A daemon reads the root and the
	// changed part of each change; with parts of about 32 KB both are of similar size at 36,500 shards.
	boundaryEvery = 64
)

// Split divides a configuration into parts.
func Split(inv model.Inventory, rules model.Rules) map[PartName]Part {
	parts := map[PartName]Part{PartRules: newPart(rules)}
	fleet := fleetPart{MaxInstances: inv.MaxInstances, SurgeInstances: inv.SurgeInstances, Zones: inv.Zones}
	for _, svc := range inv.Services {
		pieces := splitService(svc)
		parts[firstPart(svc.Name)] = newPart(pieces[0])
		layout := servicePart{Name: svc.Name}
		for _, p := range pieces[1:] {
			first := p.Shards[0].Name
			parts[furtherPart(svc.Name, first)] = newPart(p)
			layout.Further = append(layout.Further, first)
		}
		fleet.Services = append(fleet.Services, layout)
	}
	parts[PartFleet] = newPart(fleet)
	return parts
}

// firstPart names the first part of a service, and furtherPart one that begins with the given shard.
func firstPart(service model.ServiceName) PartName { return PartName(prefixService + string(service)) }

func furtherPart(service model.ServiceName, first model.ShardName) PartName {
	return firstPart(service) + "/" + PartName(first)
}

// names returns the part names of the service, in order.
func (s servicePart) names() []PartName {
	names := []PartName{firstPart(s.Name)}
	for _, first := range s.Further {
		names = append(names, furtherPart(s.Name, first))
	}
	return names
}

// splitService divides a service's shards into pieces. As a rule a piece ends before a shard whose name hashes to a
// boundary, so an edit changes the piece that it lies in and perhaps the next one, wherever in the service it is.
func splitService(svc model.ServiceSpec) []model.ServiceSpec {
	empty := model.ServiceSpec{Name: svc.Name, ShardMapEpoch: svc.ShardMapEpoch}
	overhead := len(encode(empty))
	piece, size := empty, overhead
	var pieces []model.ServiceSpec
	for _, sh := range svc.Shards {
		n := len(encode(sh)) + len(",")
		full := size+n > MaxPartBytes || (size >= minPieceBytes && isBoundary(sh.Name))
		if full && len(piece.Shards) > 0 {
			pieces = append(pieces, piece)
			piece, size = empty, overhead
		}
		piece.Shards = append(piece.Shards, sh)
		size += n
	}
	return append(pieces, piece)
}

func isBoundary(name model.ShardName) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()%boundaryEvery == 0
}

// Join rebuilds a configuration from its parts, checking every hash. get returns a part's value, or nil if it is missing.
func Join(root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
	return JoinIncremental(nil, root, get)
}

// JoinIncremental is Join with the services that the root has in common with base taken from base, whose values must not be
// changed any more. base may be nil.
func JoinIncremental(base *Base, root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
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
	held := base.index()
	for _, s := range fleet.Services {
		if svc, ok := held.service(root, s); ok {
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
	if err := load(root, firstPart(s.Name), get, &svc); err != nil {
		return svc, err
	}
	for _, first := range s.Further {
		var piece model.ServiceSpec
		if err := load(root, furtherPart(s.Name, first), get, &piece); err != nil {
			return svc, err
		}
		if piece.ShardMapEpoch != svc.ShardMapEpoch {
			return svc, errors.Wrapf(ErrCorrupt, "the parts of service %s have different shard map epochs", s.Name)
		}
		svc.Shards = append(svc.Shards, piece.Shards...)
	}
	return svc, nil
}
