package scripted

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Put implements platform.Writer with the script's faults.
func (w *Environment) Put(
	ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID,
) (platform.Version, error) {
	put := func() (platform.Version, error) {
		return w.Platform.Put(context.WithoutCancel(ctx), key, value, expect, lease)
	}
	switch w.next(&w.script.Puts) {
	case NoFault:
		return put()
	case Down:
		return 0, platform.ErrUnavailable
	case Paused:
		defer time.Sleep(PauseFor)
		return put()
	case Slow:
		<-ctx.Done()
	case DelayedEffect:
		w.later(func() { _, _ = put() })
	case LostAfterEffect:
		_, _ = put()
	default:
	}
	return 0, platform.ErrUnknown
}

// Get implements platform.Reader with the script's faults.
func (w *Environment) Get(ctx context.Context, key string) (platform.Entry, error) {
	switch w.next(&w.script.Gets) {
	case Down:
		return platform.Entry{}, platform.ErrUnavailable
	case StaleRead:
		w.SetFaults(memplatform.Faults{StaleBy: StaleBy})
		defer w.SetFaults(memplatform.Faults{})
	default:
	}
	return w.Platform.Get(ctx, key)
}
