package dispatch

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// warmTimeout limits the time to open one connection ahead of use.
const warmTimeout = 2 * time.Second

// Warm opens all connections that the budget allows to a server that has joined, so that queries do not have to wait for
// them. It returns immediately; workers of the least urgent rank open the connections.
func (d *Dispatcher) Warm(s *tables.Server) {
	// All spare capacity is acquired in one step. If the loop acquired it, connections that open faster than it runs would release
	// capacity again and prolong the loop, and with it the installation of the configuration.
	for range s.AcquireAllSpare() {
		d.ready.Push(&tables.Attempt{Server: s, Rank: model.RankDeferred, Run: func() { d.warmConnection(s) }})
	}
}

// warmConnection opens one connection. A failure is not recorded, because the first attempt will detect it as well.
func (d *Dispatcher) warmConnection(s *tables.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	_ = s.Client().Warm(ctx)
	d.release(s)
}
