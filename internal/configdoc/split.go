package configdoc

import (
	"hash/fnv"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/model"
)

const (
	// MaxPartBytes is the maximum size of a part that holds more than one shard.
	MaxPartBytes = 256 << 10
	// minPartBytes is the size from which a part of a service may end at a boundary.
	minPartBytes = 16 << 10
	// shardsPerBoundary is the mean number of shards from minPartBytes to the end of a part. For each change, a daemon reads
	// the root and the changed part; with parts of about 32 KB the two have a similar size at 36,500 shards.
	shardsPerBoundary = 64
)

// Split divides a configuration into parts.
func Split(inv model.Inventory, rules model.Rules) map[PartName]Part {
	parts := map[PartName]Part{PartRules: newPart(rules)}
	fleet := fleetPart{MaxInstances: inv.MaxInstances, SurgeInstances: inv.SurgeInstances, Zones: inv.Zones}
	for _, svc := range inv.Services {
		serviceParts := splitService(svc)
		parts[firstPartName(svc.Name)] = newPart(serviceParts[0])
		layout := serviceLayout{Name: svc.Name}
		for _, p := range serviceParts[1:] {
			first := p.Shards[0].Name
			parts[furtherPartName(svc.Name, first)] = newPart(p)
			layout.Further = append(layout.Further, first)
		}
		fleet.Services = append(fleet.Services, layout)
	}
	parts[PartFleet] = newPart(fleet)
	return parts
}

// firstPartName returns the name of the first part of a service.
func firstPartName(service model.ServiceName) PartName {
	return PartName(prefixService + string(service))
}

// furtherPartName returns the name of a further part of a service, which begins with the given shard.
func furtherPartName(service model.ServiceName, first model.ShardName) PartName {
	return firstPartName(service) + "/" + PartName(first)
}

// partNames returns the names of the service's parts, in the order of their shards.
func (s serviceLayout) partNames() []PartName {
	names := []PartName{firstPartName(s.Name)}
	for _, first := range s.Further {
		names = append(names, furtherPartName(s.Name, first))
	}
	return names
}

// splitService splits a service's shards into parts by content-defined chunking: as a rule a part ends before a shard whose
// name hashes to a boundary. An edit of a shard thus changes only the part that holds the shard and sometimes the next one.
func splitService(svc model.ServiceSpec) []model.ServiceSpec {
	empty := model.ServiceSpec{Name: svc.Name, ShardMapEpoch: svc.ShardMapEpoch}
	overhead := len(encode(empty))
	part, size := empty, overhead
	var parts []model.ServiceSpec
	for _, sh := range svc.Shards {
		n := len(encode(sh)) + len(",")
		endPart := size+n > MaxPartBytes || (size >= minPartBytes && isBoundary(sh.Name))
		if endPart && len(part.Shards) > 0 {
			parts = append(parts, part)
			part, size = empty, overhead
		}
		part.Shards = append(part.Shards, sh)
		size += n
	}
	return append(parts, part)
}

func isBoundary(name model.ShardName) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()%shardsPerBoundary == 0
}

// Join assembles a configuration from its parts and checks every hash. get returns a part's value, or nil if it is missing.
func Join(root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
	return JoinIncremental(nil, root, get)
}

// JoinIncremental is Join, except that it takes the services whose parts are the same as in base from base instead of decoding
// them. The result shares these services with base, so they must not be modified afterwards. base may be nil.
func JoinIncremental(base *Base, root *Root, get func(Hash) []byte) (model.Inventory, model.Rules, error) {
	var inv model.Inventory
	var rules model.Rules
	var fleet fleetPart
	if err := loadPart(root, PartRules, get, &rules); err != nil {
		return inv, rules, err
	}
	if err := loadPart(root, PartFleet, get, &fleet); err != nil {
		return inv, rules, err
	}
	inv = model.Inventory{MaxInstances: fleet.MaxInstances, SurgeInstances: fleet.SurgeInstances, Zones: fleet.Zones}
	baseServices := base.index()
	for _, s := range fleet.Services {
		if svc, ok := baseServices.service(root, s); ok {
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

func joinService(root *Root, s serviceLayout, get func(Hash) []byte) (model.ServiceSpec, error) {
	var svc model.ServiceSpec
	if err := loadPart(root, firstPartName(s.Name), get, &svc); err != nil {
		return svc, err
	}
	for _, first := range s.Further {
		var part model.ServiceSpec
		if err := loadPart(root, furtherPartName(s.Name, first), get, &part); err != nil {
			return svc, err
		}
		if part.ShardMapEpoch != svc.ShardMapEpoch {
			return svc, errors.Wrapf(ErrCorrupt, "the parts of service %s have different shard map epochs", s.Name)
		}
		svc.Shards = append(svc.Shards, part.Shards...)
	}
	return svc, nil
}
