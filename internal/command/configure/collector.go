package configure

import (
	"context"

	"github.com/rs/zerolog"

	"oleandersill.example/oleandersill/internal/model"
)

// revisionsPerCollection is the number of revisions between two collections. Unused parts are bounded by what that many
// changes, accepted or not, leave behind.
const revisionsPerCollection = 25

// Collector runs the garbage collection of parts in the background of one daemon.
type Collector struct {
	Configurer *Configurer
	Log        zerolog.Logger

	due chan struct{}
}

// NewCollector returns a collector that runs after each revision made by the configurer whose number is a multiple of 25.
// It sets the configurer's OnAccepted.
func NewCollector(c *Configurer, log zerolog.Logger) *Collector {
	collector := &Collector{Configurer: c, Log: log, due: make(chan struct{}, 1)}
	c.OnAccepted = collector.onAccepted
	return collector
}

func (c *Collector) onAccepted(revision model.Revision) {
	if revision%revisionsPerCollection != 0 {
		return
	}
	select {
	case c.due <- struct{}{}:
	default:
		// A collection is due already.
	}
}

// Run runs a collection whenever one is due, until ctx is cancelled.
func (c *Collector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.due:
		}
		result, err := c.Configurer.Collect(ctx)
		if err != nil {
			c.Log.Warn().Err(err).Msg("config_collect_failed")
			continue
		}
		c.Log.Info().Int("kept", result.Kept).Int("removed", result.Removed).Int("skipped", result.Skipped).
			Int("unconfirmed", result.Unconfirmed).Msg("config_collected")
	}
}
