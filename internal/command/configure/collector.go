package configure

import (
	"context"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
)

// collectEvery is the number of revisions between two collections. Unused parts are bounded by what that many changes,
// accepted or not, leave behind.
const collectEvery = 25

// Collector removes unused parts from time to time, in the background of one daemon.
type Collector struct {
	Configurer *Configurer
	Log        zerolog.Logger

	due chan struct{}
}

// NewCollector returns a collector that runs after every 25th revision that the configurer makes.
func NewCollector(c *Configurer, log zerolog.Logger) *Collector {
	collector := &Collector{Configurer: c, Log: log, due: make(chan struct{}, 1)}
	c.OnAccepted = collector.accepted
	return collector
}

func (c *Collector) accepted(revision model.Revision) {
	if revision%collectEvery != 0 {
		return
	}
	select {
	case c.due <- struct{}{}:
	default:
		// A collection is due already.
	}
}

// Run collects whenever it is due, until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.due:
		}
		done, err := c.Configurer.Collect(ctx)
		if err != nil {
			c.Log.Warn().Err(err).Msg("config_collect_failed")
			continue
		}
		c.Log.Info().Int("kept", done.Kept).Int("removed", done.Removed).Int("skipped", done.Skipped).
			Int("unconfirmed", done.Unconfirmed).Msg("config_collected")
	}
}
