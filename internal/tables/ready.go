package tables

import (
	"sync"

	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// ReadyAttempts queues the attempts that have acquired capacity and wait for a worker, first-in first-out for each rank. The
// connection budgets of the servers bound its length, apart from a few tasks that need no capacity, such as the start of the
// reachability checks of a zone. Owner: dispatch.
type ReadyAttempts struct {
	mu     lockorder.Mutex
	queues [model.RankCount][]*Attempt
	conds  [model.RankCount]*sync.Cond
	closed bool
}

// NewReadyAttempts returns an empty table.
func NewReadyAttempts() *ReadyAttempts {
	r := &ReadyAttempts{mu: lockorder.New(OrderReadyAttempts)}
	for i := range r.conds {
		r.conds[i] = sync.NewCond(&r.mu)
	}
	return r
}

// Push adds an attempt and wakes one worker of its rank.
func (r *ReadyAttempts) Push(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queues[a.Rank] = append(r.queues[a.Rank], a)
	r.conds[a.Rank].Signal()
}

// Take blocks until there is an attempt of the rank. It returns false once the table is closed and the rank's queue is
// empty.
func (r *ReadyAttempts) Take(rank model.Rank) (*Attempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queues[rank]) == 0 {
		if r.closed {
			return nil, false
		}
		r.conds[rank].Wait()
	}
	a := r.queues[rank][0]
	r.queues[rank] = r.queues[rank][1:]
	return a, true
}

// Close makes Take return false once the rank's queue is empty.
func (r *ReadyAttempts) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, c := range r.conds {
		c.Broadcast()
	}
}
