package tables

import "oleandersill.example/oleandersill/internal/model"

// ServerState classifies a server for operators.
type ServerState string

// The states of a server. If several apply, the first of them is reported.
const (
	ServerLeaving ServerState = "leaving"
	ServerEjected ServerState = "ejected"
	// ServerLimited means that the in-flight limit is below the connection budget.
	ServerLimited  ServerState = "limited"
	ServerOrdinary ServerState = "ordinary"
)

// ServerStatus is a server's state, number of attempts in flight and in-flight limit.
type ServerStatus struct {
	Spec     *model.Server
	State    ServerState
	InFlight int
	Limit    int
}

// EjectionChange is the start or end of a server's ejection.
type EjectionChange int

// The changes of a server's ejection state.
const (
	EjectionUnchanged EjectionChange = iota
	EjectionBegan
	EjectionEnded
)

// TakeEjectionChange returns the change since its last call, so that each change is reported once.
func (s *Server) TakeEjectionChange() EjectionChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected := s.health.Ejected()
	if ejected == s.reportedEjected {
		return EjectionUnchanged
	}
	s.reportedEjected = ejected
	if ejected {
		return EjectionBegan
	}
	return EjectionEnded
}

// Status returns the server's current status.
func (s *Server) Status() ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ServerStatus{Spec: s.spec, State: ServerOrdinary, InFlight: s.inFlight, Limit: s.limit.Limit()}
	switch {
	case !s.leaving.IsZero() || s.spec.Leaving:
		st.State = ServerLeaving
	case s.health.Ejected():
		st.State = ServerEjected
	case st.Limit < s.budget:
		st.State = ServerLimited
	}
	return st
}

// All returns the records of all servers, in no particular order.
func (t *Servers) All() []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Server, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}

// QueueLength is the number of requests of one service and rank that wait for admission.
type QueueLength struct {
	Service model.ServiceName
	Rank    model.Rank
	Waiting int
}

// QueueLengths returns the lengths of all queues.
func (t *Admissions) QueueLengths() []QueueLength {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []QueueLength
	for service, q := range t.queues {
		for r := range model.RankCount {
			out = append(out, QueueLength{Service: service, Rank: model.Rank(r), Waiting: q.Waiting(model.Rank(r))})
		}
	}
	return out
}
