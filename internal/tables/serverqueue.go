package tables

import (
	"time"

	"oleandersill.example/oleandersill/internal/decision/fairshare"
	"oleandersill.example/oleandersill/internal/model"
)

// serverQueue holds the attempts that wait for a server's capacity, by rank, and counts those served, by rank.
type serverQueue struct {
	waiting [model.RankCount][]*Attempt
	served  fairshare.ServedCounter
}

// Acquire acquires capacity for the attempt and returns true, or queues the attempt until Release frees some.
func (s *Server) Acquire(a *Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight < s.limit.Limit() {
		s.use(1)
		return true
	}
	if s.queue == nil {
		s.queue = &serverQueue{}
	}
	s.queue.waiting[a.Rank] = append(s.queue.waiting[a.Rank], a)
	s.queued++
	return false
}

// TryAcquireSpare acquires capacity for a control message and reports whether there was any. It may exceed the in-flight
// limit, up to the connection budget.
func (s *Server) TryAcquireSpare() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.budget {
		return false
	}
	s.use(1)
	return true
}

// AcquireAllSpare acquires all capacity that is left up to the connection budget and returns how much that was.
func (s *Server) AcquireAllSpare() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := max(0, s.budget-s.inFlight)
	s.use(spare)
	return spare
}

// use counts capacity that was acquired.
func (s *Server) use(capacity int) {
	s.inFlight += capacity
	s.opened = s.opened || capacity > 0
}

// Release releases the capacity of one attempt. It acquires capacity for waiting attempts that may now start and returns them
// in the order in which they are to start.
func (s *Server) Release(now time.Time) []*Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	var started []*Attempt
	for s.inFlight < s.limit.Limit() {
		a := s.popWaiting(now)
		if a == nil {
			break
		}
		s.use(1)
		started = append(started, a)
	}
	return started
}

// popWaiting removes and returns the next attempt to send, or nil if none waits. The attempt is of the rank furthest below its
// minimum share, or of the most urgent waiting rank if no rank is below its share.
func (s *Server) popWaiting(now time.Time) *Attempt {
	if s.queued == 0 {
		return nil
	}
	q := s.queue
	waiting := func(r model.Rank) bool { return len(q.waiting[r]) > 0 }
	rank, ok := q.served.FurthestBelowMinimum(waiting, s.minimums, now)
	for r := 0; !ok && r < model.RankCount; r++ {
		rank = model.Rank(r)
		ok = waiting(rank)
	}
	a := q.waiting[rank][0]
	q.waiting[rank] = q.waiting[rank][1:]
	s.queued--
	q.served.Add(rank, now)
	return a
}

// RemoveWaiting removes a waiting attempt and reports whether it was waiting at this server.
func (s *Server) RemoveWaiting(a *Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue == nil {
		return false
	}
	ws := s.queue.waiting[a.Rank]
	for i := range ws {
		if ws[i] == a {
			s.queue.waiting[a.Rank] = append(ws[:i:i], ws[i+1:]...)
			s.queued--
			return true
		}
	}
	return false
}

// RejectWaiting rejects all waiting attempts, those of the most urgent rank first. The caller must hold no lock.
func (s *Server) RejectWaiting() {
	for _, a := range s.takeWaiting() {
		a.Reject()
	}
}

// rejectUnsendable rejects the waiting attempts if none may be sent any longer.
func (s *Server) rejectUnsendable() {
	if !s.Sendable() {
		s.RejectWaiting()
	}
}

func (s *Server) takeWaiting() []*Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued == 0 {
		return nil
	}
	taken := make([]*Attempt, 0, s.queued)
	for r := range s.queue.waiting {
		taken = append(taken, s.queue.waiting[r]...)
		s.queue.waiting[r] = nil
	}
	s.queued = 0
	return taken
}
