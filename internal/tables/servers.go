package tables

import (
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Servers indexes the server records by name. A removed or replaced record is retired: the attempts that were sent go on, and no
// other is sent.
// Owner: command/report.
type Servers struct {
	mu      lockorder.Mutex
	records map[model.ServerName]*Server
}

// NewServers returns an empty table.
func NewServers() *Servers {
	return &Servers{mu: lockorder.New(OrderServers), records: map[model.ServerName]*Server{}}
}

// Get returns the record of the named server, or nil.
func (t *Servers) Get(name model.ServerName) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[name]
}

// AppendShard appends the records of a shard's servers to dst and returns the extended slice. Servers without a record are
// left out.
func (t *Servers) AppendShard(dst []*Server, sh *model.Shard) []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sh.Servers {
		if r := t.records[s.Name]; r != nil {
			dst = append(dst, r)
		}
	}
	return dst
}

// Put adds a record. It retires the one that it replaces.
func (t *Servers) Put(s *Server) {
	t.mu.Lock()
	before := t.records[s.Name()]
	t.records[s.Name()] = s
	t.mu.Unlock()
	if before != nil && before != s {
		before.Retire()
	}
}

// Remove removes and retires the record of the named server, if there is one.
func (t *Servers) Remove(name model.ServerName) {
	t.mu.Lock()
	removed := t.records[name]
	delete(t.records, name)
	t.mu.Unlock()
	if removed != nil {
		removed.Retire()
	}
}

// Len returns the number of records.
func (t *Servers) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
