package dispatch

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/tables"
)

// warmTimeout bounds the opening of one connection ahead of use.
const warmTimeout = 2 * time.Second

// Warm opens the budgeted connections to a server that joined ahead of use, so that queries do not pay for them. It
// returns at once; workers of the least urgent rank do the work.
func (d *Dispatcher) Warm(s *tables.Server) {
	// The headroom is taken in one step: connections that open faster than this loop runs would otherwise keep it going,
	// and with it the adoption of the configuration.
	for range s.AcquireAllSpare() {
		d.ready.Push(&tables.Attempt{Server: s, Rank: model.RankDeferred, Run: func() { d.warmOne(s) }})
	}
}

// warmOne opens one connection. A failure says nothing that the first attempt would not say, so it is not recorded.
func (d *Dispatcher) warmOne(s *tables.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	_ = s.Client().Warm(ctx)
	d.release(s)
}
