package main

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"strconv"

	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/model"
)

// customer is an example deployment. Its sizes come from the size table in docs/design.md.
type customer struct {
	name     string
	zones    []model.ZoneSpec
	services []service
	// firstPort is the port of the first server; the other servers use the ports after it.
	firstPort int
	// export reports whether the inventory is also written as an asset register's export.
	export bool
}

type service struct {
	name             model.ServiceName
	shards           int
	serversPerShard  int
	slots            int
	connections      int
	connectionCostMs float64
}

func customers() []customer {
	return []customer{
		{
			name:      "dalisay",
			firstPort: 21000,
			export:    true,
			zones: []model.ZoneSpec{
				{Name: "luzon-1", Region: "luzon"}, {Name: "visayas-1", Region: "visayas"}, {Name: "mindanao-1", Region: "mindanao"},
			},
			services: []service{
				{name: "phrase-search", shards: 20, serversPerShard: 2, slots: 2, connections: 25, connectionCostMs: 5},
				{name: "audio-clips", shards: 30, serversPerShard: 2, slots: 2, connections: 25, connectionCostMs: 5},
				{name: "offline-packs", shards: 1, serversPerShard: 3, slots: 4, connections: 100, connectionCostMs: 1},
				{name: "bookmarks", shards: 1, serversPerShard: 3, slots: 4, connections: 100, connectionCostMs: 1},
			},
		},
		{
			name:      "quetzal",
			firstPort: 22000,
			zones: []model.ZoneSpec{
				{Name: "altiplano-1", Region: "altiplano"}, {Name: "oriente-1", Region: "oriente"},
				{Name: "costa-sur-1", Region: "costa-sur"},
			},
			services: []service{
				{name: "catalogue-search", shards: 20, serversPerShard: 2, slots: 2, connections: 25, connectionCostMs: 5},
				{name: "upload-desk", shards: 30, serversPerShard: 2, slots: 2, connections: 25, connectionCostMs: 5},
				{name: "payout-ledger", shards: 1, serversPerShard: 5, slots: 3, connections: 40, connectionCostMs: 1},
				{name: "member-voting", shards: 1, serversPerShard: 3, slots: 3, connections: 40, connectionCostMs: 1},
			},
		},
	}
}

// Numbers of daemon instances of each customer, and of additional ones while instances are replaced.
const (
	maxInstances   = 8
	surgeInstances = 2
)

func (c customer) inventory() model.Inventory {
	inv := model.Inventory{MaxInstances: maxInstances, SurgeInstances: surgeInstances, Zones: c.zones}
	port := c.firstPort
	for _, s := range c.services {
		spec := model.ServiceSpec{Name: s.name, ShardMapEpoch: 1}
		for i := range s.shards {
			shard := model.ShardSpec{
				Name:    model.ShardName(fmt.Sprintf("s%02d", i)),
				KeyFrom: model.KeySpace * i / s.shards,
				KeyTo:   model.KeySpace * (i + 1) / s.shards,
			}
			for replica := range s.serversPerShard {
				// The replicas of a shard are spread over the zones, so that each shard keeps a server when a zone fails.
				zone := c.zones[(i+replica)%len(c.zones)]
				shard.Servers = append(shard.Servers, s.server(shard.Name, replica, port, zone.Name))
				port++
			}
			spec.Shards = append(spec.Shards, shard)
		}
		inv.Services = append(inv.Services, spec)
	}
	return inv
}

func (s service) server(shard model.ShardName, replica, port int, zone model.AvailabilityZone) model.ServerSpec {
	return model.ServerSpec{
		Name:             model.ServerName(fmt.Sprintf("%s-%s-%c", s.name, shard, 'a'+replica)),
		Address:          fmt.Sprintf("127.0.0.1:%d", port),
		Zone:             zone,
		Slots:            s.slots,
		Connections:      s.connections,
		ConnectionCostMs: s.connectionCostMs,
	}
}

// files returns the generated files by name.
func (c customer) files() map[string][]byte {
	inv := c.inventory()
	data, err := yaml.Marshal(inv)
	if err != nil {
		panic("generate: inventory cannot be encoded: " + err.Error())
	}
	files := map[string][]byte{"inventory.yaml": data}
	if c.export {
		files["assets.csv"] = export(inv)
	}
	return files
}

// exportHeader is the header row of the asset register's export; the operators' tool maps it to columns on import.
var exportHeader = []string{
	"Service", "Shard", "Asset Tag", "IP and Port", "Site", "Region", "Slots", "Max Connections", "Connect ms",
	"Decommissioning", "Rack",
}

func export(inv model.Inventory) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	rows := [][]string{exportHeader}
	regions := map[model.AvailabilityZone]model.Region{}
	for _, z := range inv.Zones {
		regions[z.Name] = z.Region
	}
	for _, svc := range inv.Services {
		for i, sh := range svc.Shards {
			for _, s := range sh.Servers {
				rows = append(rows, []string{
					string(svc.Name), string(sh.Name), string(s.Name), s.Address, string(s.Zone), string(regions[s.Zone]),
					strconv.Itoa(s.Slots), strconv.Itoa(s.Connections), strconv.FormatFloat(s.ConnectionCostMs, 'g', -1, 64),
					"no", fmt.Sprintf("R%02d", i%12),
				})
			}
		}
	}
	if err := w.WriteAll(rows); err != nil {
		panic("generate: export cannot be encoded: " + err.Error())
	}
	return out.Bytes()
}
