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

// ConfigFootprint is what one daemon holds of a configuration and what a change of one shard costs it.
type ConfigFootprint struct {
	Servers int `json:"servers"`
	Parts   int `json:"parts"`
	// RootBytes and PackedRootBytes are the size of the root, as stored and as it travels.
	RootBytes       int `json:"root_bytes"`
	PackedRootBytes int `json:"packed_root_bytes"`
	// RecordBytes is what the audit trail keeps of a revision that changes the last service.
	RecordBytes int `json:"record_bytes"`
	// PartBytes and PackedPartBytes are the same for the largest part.
	PartBytes       int `json:"part_bytes"`
	PackedPartBytes int `json:"packed_part_bytes"`
	// MemoryMB is the live heap for the packed values and the Topology, in MB.
	MemoryMB float64 `json:"memory_mb"`
	// TakeMs is the time to join, validate and index the configuration, on one core; ChangeMs is the same for a revision
	// in which one service differs from the one in force.
	TakeMs   float64 `json:"take_ms"`
	ChangeMs float64 `json:"change_ms"`
}

// MeasureConfigFootprint measures a configuration with the given number of servers, 2 in each shard and 4,600 in each service.
func MeasureConfigFootprint(servers int) (ConfigFootprint, error) {
	parts := configdoc.Split(largeInventory(servers), rules())
	root := &configdoc.Root{Revision: 1, Editor: "fleetload", Parts: map[configdoc.PartName]configdoc.Hash{}}
	values := map[configdoc.Hash][]byte{}
	h := ConfigFootprint{Servers: servers, Parts: len(parts)}
	stored := 0
	for name, p := range parts {
		root.Parts[name] = p.Hash
		packed := configdoc.Pack(p.Value)
		values[p.Hash] = packed
		stored += len(packed)
		if len(p.Value) > h.PartBytes {
			h.PartBytes, h.PackedPartBytes = len(p.Value), len(packed)
		}
	}
	encoded := root.Encode()
	h.RootBytes, h.PackedRootBytes = len(encoded), len(configdoc.Pack(encoded))
	before := memoryMB()
	topology, took, err := index(nil, nil, root, values)
	if err != nil {
		return h, err
	}
	h.TakeMs = took
	h.MemoryMB = memoryMB() - before + float64(stored)/(1<<20)
	next := changeOne(topology.Inventory, root, values)
	record, _ := next.Record()
	h.RecordBytes = len(record)
	if _, took, err = index(&configdoc.Base{Root: root, Inventory: topology.Inventory}, topology, next, values); err != nil {
		return h, err
	}
	h.ChangeMs = took
	runtime.KeepAlive(topology)
	return h, nil
}

// index does what a daemon does with a revision whose parts it has, and returns the time taken in milliseconds.
func index(
	base *configdoc.Base, held *model.Topology, root *configdoc.Root, values map[configdoc.Hash][]byte,
) (*model.Topology, float64, error) {
	begin := time.Now()
	var inForce *model.Inventory
	if held != nil {
		inForce = &held.Inventory
	}
	inv, rules, err := configdoc.JoinOn(base, root, func(hash configdoc.Hash) []byte {
		value, _ := configdoc.Unpack(hash, values[hash])
		return value
	})
	if err == nil {
		err = document.ValidateOn(inForce, inv, rules).Err()
	}
	if err != nil {
		return nil, 0, err
	}
	t := model.NewTopologyOn(held, root.Revision, inv, rules)
	return t, float64(time.Since(begin).Microseconds()) / 1000, nil
}

// changeOne adds the values of a revision with another epoch of the last service, and returns its root.
func changeOne(inv model.Inventory, root *configdoc.Root, values map[configdoc.Hash][]byte) *configdoc.Root {
	inv.Services = slices.Clone(inv.Services)
	inv.Services[len(inv.Services)-1].ShardMapEpoch++
	next := &configdoc.Root{Revision: root.Revision + 1, Parts: map[configdoc.PartName]configdoc.Hash{}}
	for name, p := range configdoc.Split(inv, rules()) {
		next.Parts[name] = p.Hash
		values[p.Hash] = configdoc.Pack(p.Value)
	}
	next.Seal(root)
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

// PrintConfigFootprints writes holdings as a Markdown table.
func PrintConfigFootprints(w io.Writer, hs []ConfigFootprint) error {
	_, err := fmt.Fprintln(w, "| servers | parts | root B | packed root B | record B | largest part B | packed part B | memory MB | take ms | change ms |\n"+
		"|---|---|---|---|---|---|---|---|---|---|")
	for _, h := range hs {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "| %d | %d | %d | %d | %d | %d | %d | %.1f | %.0f | %.0f |\n",
			h.Servers, h.Parts, h.RootBytes, h.PackedRootBytes, h.RecordBytes, h.PartBytes, h.PackedPartBytes, h.MemoryMB, h.TakeMs, h.ChangeMs)
	}
	return err
}
