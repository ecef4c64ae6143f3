package admission

import "oleandersill.example/oleandersill/internal/model"

// rankQueue holds the waiting requests of one rank: a FIFO queue for each caller, served round-robin.
type rankQueue struct {
	callers map[model.CallerName][]*Waiter
	// roundRobin lists the callers with waiting requests. The first one is served next and then moves to the end.
	roundRobin []model.CallerName
	size       int
}

func newRankQueue() rankQueue { return rankQueue{callers: map[model.CallerName][]*Waiter{}} }

func (q *rankQueue) callerSize(c model.CallerName) int { return len(q.callers[c]) }

func (q *rankQueue) push(w *Waiter) {
	if len(q.callers[w.Caller]) == 0 {
		q.roundRobin = append(q.roundRobin, w.Caller)
	}
	q.callers[w.Caller] = append(q.callers[w.Caller], w)
	q.size++
}

func (q *rankQueue) pop() *Waiter {
	c := q.roundRobin[0]
	q.roundRobin = q.roundRobin[1:]
	ws := q.callers[c]
	w := ws[0]
	q.size--
	if len(ws) == 1 {
		delete(q.callers, c)
		return w
	}
	q.callers[c] = ws[1:]
	q.roundRobin = append(q.roundRobin, c)
	return w
}

func (q *rankQueue) remove(w *Waiter) {
	ws := q.callers[w.Caller]
	for i := range ws {
		if ws[i] == w {
			q.callers[w.Caller] = append(ws[:i:i], ws[i+1:]...)
			q.size--
			break
		}
	}
	if len(q.callers[w.Caller]) == 0 {
		delete(q.callers, w.Caller)
		q.removeCaller(w.Caller)
	}
}

func (q *rankQueue) removeCaller(c model.CallerName) {
	for i := range q.roundRobin {
		if q.roundRobin[i] == c {
			q.roundRobin = append(q.roundRobin[:i:i], q.roundRobin[i+1:]...)
			return
		}
	}
}
