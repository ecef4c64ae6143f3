package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/decision/spread"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
	"oleandersill.example/oleandersill/internal/testing/suite"
)

func TestFleet(t *testing.T) { suite.Run(t, "./internal/command/fleet") }

var _ = Describe("leaving servers", func() {
	var a *Agent
	spec := &model.Server{ServerSpec: model.ServerSpec{Name: "srv"}}
	BeforeEach(func() {
		a = New(Deps{
			Members: tables.NewMembers(model.Member{Instance: "self"}), Departures: tables.NewDepartures(),
			Config: tables.NewConfig(), Servers: tables.NewServers(), Log: zerolog.Nop(),
		})
		a.Servers.Put(tables.NewServer(spec, nil, 5, time.Time{}))
	})

	// Guards against a server that comes back under its name and gets no work for ever.
	It("get work again once signs have ended", func() {
		a.ServerDraining("srv")
		Expect(a.Servers.Get("srv").Open()).To(BeFalse())
		a.tick(time.Now())
		Expect(a.Servers.Get("srv").Open()).To(BeFalse())
		a.tick(time.Now().Add(spread.LeavingHold + time.Second))
		Expect(a.Servers.Get("srv").Open()).To(BeTrue())
	})

	// Guards against a configuration change that replaces the record and with it the mark.
	It("stay marked when their record is replaced", func() {
		a.ServerDraining("srv")
		a.Servers.Put(tables.NewServer(spec, nil, 6, time.Time{}))
		a.markRecords(time.Now())
		Expect(a.Servers.Get("srv").Open()).To(BeFalse())
	})
})

var _ = Describe("the budget of store reads", func() {
	It("refuses what exceeds a window and passes one large configuration", func() {
		var b readBudget
		now := time.Now()
		Expect(b.take(200, now)).To(BeTrue())
		Expect(b.take(1, now)).To(BeFalse())
		Expect(b.take(1, now.Add(readWindow+time.Second))).To(BeTrue())
	})
})
