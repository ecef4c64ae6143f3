package fleetload

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"oleandersill.example/oleandersill/internal/configdoc"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
)

// ConfigFootprint is the size of a configuration at one daemon and the cost of a change of one service.
type ConfigFootprint struct {
	Servers int `json:"servers"`
	Parts   int `json:"parts"`
	// RootBytes and PackedRootBytes are the sizes of the encoded root, uncompressed and compressed.
	RootBytes       int `json:"root_bytes"`
	PackedRootBytes int `json:"packed_root_bytes"`
	// RecordBytes is the size of the audit trail's record of a revision that changes the last service.
	RecordBytes int `json:"record_bytes"`
	// PartBytes and PackedPartBytes are the sizes of the largest part, uncompressed and compressed.
	PartBytes       int `json:"part_bytes"`
	PackedPartBytes int `json:"packed_part_bytes"`
	// MemoryMB is the live heap used by the compressed parts and the Topology, in MiB.
	MemoryMB float64 `json:"memory_mb"`
	// TakeMs is the time to join, validate and index the configuration on one core, in milliseconds. ChangeMs is the same
	// for a revision in which one service differs from the revision in force.
	TakeMs   float64 `json:"take_ms"`
	ChangeMs float64 `json:"change_ms"`
}

// MeasureConfigFootprint measures a configuration with the given number of servers, 2 per shard and up to 4,600 per service.
func MeasureConfigFootprint(servers int) (ConfigFootprint, error) {
	parts := configdoc.Split(largeInventory(servers), rules())
	root := &configdoc.Root{Revision: 1, Editor: "fleetload", Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	f := ConfigFootprint{Servers: servers, Parts: len(parts)}
	stored := 0
	for name, p := range parts {
		root.Parts[name] = p.Hash
		packed := configdoc.Pack(p.Value)
		values[p.Hash] = packed
		stored += len(packed)
		if len(p.Value) > f.PartBytes {
			f.PartBytes, f.PackedPartBytes = len(p.Value), len(packed)
		}
	}
	encoded := root.Encode()
	f.RootBytes, f.PackedRootBytes = len(encoded), len(configdoc.Pack(encoded))
	before := memoryMB()
	topology, took, err := buildTopology(nil, nil, root, values)
	if err != nil {
		return f, err
	}
	f.TakeMs = took
	f.MemoryMB = memoryMB() - before + float64(stored)/(1<<20)
	next := changeLastService(topology.Inventory, root, values)
	record, _ := next.Record()
	f.RecordBytes = len(record)
	if _, took, err = buildTopology(&configdoc.Base{Root: root, Inventory: topology.Inventory}, topology, next, values); err != nil {
		return f, err
	}
	f.ChangeMs = took
	runtime.KeepAlive(topology)
	return f, nil
}

// buildTopology joins, validates and indexes a revision as a daemon does that has its parts. base and previous are the
// revision in force, or nil. It also returns the time taken, in milliseconds.
func buildTopology(
	base *configdoc.Base, previous *model.Topology, root *configdoc.Root, values map[configdoc.Hash][]byte,
) (*model.Topology, float64, error) {
	begin := time.Now()
	var previousInventory *model.Inventory
	if previous != nil {
		previousInventory = &previous.Inventory
	}
	inv, rules, err := configdoc.JoinIncremental(base, root, func(hash configdoc.Hash) []byte {
		value, _ := configdoc.Unpack(hash, values[hash])
		return value
	})
	if err == nil {
		err = document.ValidateIncremental(previousInventory, inv, rules).Err()
	}
	if err != nil {
		return nil, 0, err
	}
	t := model.NewTopologyWithBase(previous, root.Revision, inv, rules)
	return t, float64(time.Since(begin).Microseconds()) / 1000, nil
}

// changeLastService returns the root of a revision with the next shard map epoch of the last service, and adds the compressed
// parts of that revision to values.
func changeLastService(inv model.Inventory, root *configdoc.Root, values map[configdoc.Hash][]byte) *configdoc.Root {
	inv.Services = slices.Clone(inv.Services)
	inv.Services[len(inv.Services)-1].ShardMapEpoch++
	next := &configdoc.Root{Revision: root.Revision + 1, Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, p := range configdoc.Split(inv, rules()) {
		next.Parts[name] = p.Hash
		values[p.Hash] = configdoc.Pack(p.Value)
	}
	next.DescribeChanges(root)
	return next
}

const serversPerLargeService = 4_600

func largeInventory(servers int) model.Inventory {
	inv := model.Inventory{MaxInstances: 5_600, SurgeInstances: 400}
	for z := range 20 {
		inv.Zones = append(inv.Zones, model.ZoneSpec{Name: zoneName(z), Region: model.Region(zoneName(z % 8))})
	}
	for first := 0; first < servers; first += serversPerLargeService {
		inv.Services = append(inv.Services, largeService(first, min(serversPerLargeService, servers-first)))
	}
	return inv
}

func largeService(first, servers int) model.ServiceSpec {
	svc := model.ServiceSpec{Name: model.ServiceName(fmt.Sprintf("service-%d", first)), ShardMapEpoch: 1}
	shards := servers / serversPerShard
	for i := range shards {
		sh := model.ShardSpec{
			Name:    model.ShardName(fmt.Sprintf("shard-%d", i)),
			KeyFrom: i * model.KeySpace / shards,
			KeyTo:   (i + 1) * model.KeySpace / shards,
		}
		for r := range serversPerShard {
			n := first + i*serversPerShard + r
			sh.Servers = append(sh.Servers, model.ServerSpec{
				Name:    model.ServerName(fmt.Sprintf("server-%d", n)),
				Address: fmt.Sprintf("10.%d.%d.%d:7000", n>>16, n>>8&255, n&255),
				Zone:    zoneName((i + r) % 20), Slots: 2, Connections: 25, ConnectionCostMs: 5,
			})
		}
		svc.Shards = append(svc.Shards, sh)
	}
	return svc
}

// PrintConfigFootprints writes the footprints as a Markdown table.
func PrintConfigFootprints(w io.Writer, footprints []ConfigFootprint) error {
	_, err := fmt.Fprintln(w, "| servers | parts | root B | packed root B | record B | largest part B | packed part B | memory MB | take ms | change ms |\n"+
		"|---|---|---|---|---|---|---|---|---|---|")
	for _, f := range footprints {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "| %d | %d | %d | %d | %d | %d | %d | %.1f | %.0f | %.0f |\n",
			f.Servers, f.Parts, f.RootBytes, f.PackedRootBytes, f.RecordBytes, f.PartBytes, f.PackedPartBytes, f.MemoryMB, f.TakeMs, f.ChangeMs)
	}
	return err
}
