package document_test

import (
	"fmt"
	"testing"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
)

// BenchmarkValidateInventory validates 73,000 servers, the number expected in two years. Each daemon validates each revision.
func BenchmarkValidateInventory(b *testing.B) {
	const services, shards = 8, 4562
	inv := model.Inventory{MaxInstances: 5600, Zones: []model.ZoneSpec{{Name: "z1", Region: "r1"}}}
	for s := range services {
		svc := model.ServiceSpec{Name: model.ServiceName(fmt.Sprintf("svc%d", s)), ShardMapEpoch: 1}
		for i := range shards {
			sh := model.ShardSpec{
				Name:    model.ShardName(fmt.Sprintf("s%05d", i)),
				KeyFrom: model.KeySpace * i / shards, KeyTo: model.KeySpace * (i + 1) / shards,
			}
			for r := range 2 {
				sh.Servers = append(sh.Servers, model.ServerSpec{
					Name:    model.ServerName(fmt.Sprintf("svc%d-s%05d-%d", s, i, r)),
					Address: fmt.Sprintf("10.%d.%d.%d:7000", s*2+r, i/250, i%250+1),
					Zone:    "z1", Slots: 2, Connections: 25, ConnectionCostMs: 5,
				})
			}
			svc.Shards = append(svc.Shards, sh)
		}
		inv.Services = append(inv.Services, svc)
	}
	for b.Loop() {
		if problems := document.ValidateInventory(inv); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}
