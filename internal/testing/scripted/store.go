package scripted

import (
	"context"
	"time"

	"oleandersill.example/oleandersill/internal/platform"
	"oleandersill.example/oleandersill/internal/testing/memplatform"
)

// Put implements platform.Writer with the faults of the script.
func (e *Environment) Put(
	ctx context.Context, key string, value []byte, expect platform.Version, lease platform.LeaseID,
) (platform.Version, error) {
	put := func() (platform.Version, error) {
		return e.Platform.Put(context.WithoutCancel(ctx), key, value, expect, lease)
	}
	switch e.nextFault(&e.script.Puts) {
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
		e.delay(func() { _, _ = put() })
	case LostAfterEffect:
		_, _ = put()
	default:
	}
	return 0, platform.ErrUnknown
}

// Get implements platform.Reader with the faults of the script.
func (e *Environment) Get(ctx context.Context, key string) (platform.Entry, error) {
	switch e.nextFault(&e.script.Gets) {
	case Down:
		return platform.Entry{}, platform.ErrUnavailable
	case StaleRead:
		e.SetFaults(memplatform.Faults{StaleBy: StaleBy})
		defer e.SetFaults(memplatform.Faults{})
	default:
	}
	return e.Platform.Get(ctx, key)
}
