package scripted

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Put implements platform.Writer with the script's faults.
func (w *World) Put(
	ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID,
) (platform.Version, error) {
	put := func() (platform.Version, error) {
		return w.Platform.Put(context.WithoutCancel(ctx), key, value, expect, lease)
	}
	switch w.next(&w.script.Puts) {
	case Fine:
		return put()
	case Down:
		return 0, platform.ErrUnavailable
	case Paused:
		defer time.Sleep(PauseFor)
		return put()
	case Slow:
		<-ctx.Done()
	case Late:
		w.later(func() { _, _ = put() })
	case LostAfter:
		_, _ = put()
	default:
	}
	return 0, platform.ErrUnknown
}

// Get implements platform.Reader with the script's faults.
func (w *World) Get(ctx context.Context, key string) (platform.Entry, error) {
	switch w.next(&w.script.Gets) {
	case Down:
		return platform.Entry{}, platform.ErrUnavailable
	case Stale:
		w.SetFaults(memplatform.Faults{StaleBy: StaleBy})
		defer w.SetFaults(memplatform.Faults{})
	default:
	}
	return w.Platform.Get(ctx, key)
}
