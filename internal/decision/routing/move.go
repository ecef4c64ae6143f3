package routing

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// deferredWaitPart divides the time left of a deferred request to give the time after which its attempts move.
const deferredWaitPart = 4

// MoveAfter returns how long the first attempt of a request of the rank, with so much time left, may wait for its server
// before it moves to another replica. Deferred work waits behind other work at any replica, where it starts as the last
// of its rank, so that it only moves when it would spend much of its time.
func MoveAfter(rank model.Rank, hedgeDelay, left time.Duration) time.Duration {
	if rank == model.RankDeferred {
		return max(hedgeDelay, left/deferredWaitPart)
	}
	return hedgeDelay
}
