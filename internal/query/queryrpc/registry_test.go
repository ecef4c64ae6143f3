package queryrpc_test

import (
	"testing"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
	"oleandersill.example/oleandersill/internal/query/queryrpc"
	"oleandersill.example/oleandersill/internal/registry"
	"oleandersill.example/oleandersill/internal/tables"
)

// observer ignores the reports of leaving servers.
type observer struct{}

func (observer) ObserveLeaving([]model.LeavingServer) {}

// TestRequesterWithoutEras guards against a daemon of an earlier version, which states no era, that is sent everything on every call
// and so calls without a pause once the store states its era.
func TestRequesterWithoutEras(t *testing.T) {
	table := tables.NewRegistry(time.Second)
	table.Apply(&registry.Update{Era: 5, Revision: 40, Complete: true}, time.Now(), time.Now())
	service := queryrpc.NewRegistryService(table, observer{}, 0)
	for _, knowsEras := range []bool{false, true} {
		var reply peer.RegistryReply
		begin := time.Now()
		if err := service.Registry(peer.RegistryRequest{After: 40, Wait: 100 * time.Millisecond, KnowsEras: knowsEras}, &reply); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(begin) >= 100*time.Millisecond; waited == knowsEras || reply.Complete != knowsEras {
			t.Errorf("requester that knows eras %t: waited %t, complete %t", knowsEras, waited, reply.Complete)
		}
	}
}
