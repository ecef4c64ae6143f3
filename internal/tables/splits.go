package tables

import (
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/model"
)

// Splits counts the requests of weighted routes, so that each part of a route gets its weight of them. Owner: dispatch.
type Splits struct {
	mu       lockorder.Mutex
	requests map[model.RouteName]uint64
}

// NewSplits returns an empty table.
func NewSplits() *Splits {
	return &Splits{mu: lockorder.New(OrderSplits), requests: map[model.RouteName]uint64{}}
}

// Next returns the number of requests of the route before this one.
func (t *Splits) Next(route model.RouteName) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.requests[route]
	t.requests[route] = n + 1
	return n
}
