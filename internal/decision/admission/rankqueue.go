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

func (l *rankQueue) callerSize(c model.CallerName) int { return len(l.callers[c]) }

func (l *rankQueue) push(w *Waiter) {
	if len(l.callers[w.Caller]) == 0 {
		l.roundRobin = append(l.roundRobin, w.Caller)
	}
	l.callers[w.Caller] = append(l.callers[w.Caller], w)
	l.size++
}

func (l *rankQueue) pop() *Waiter {
	c := l.roundRobin[0]
	l.roundRobin = l.roundRobin[1:]
	ws := l.callers[c]
	w := ws[0]
	l.size--
	if len(ws) == 1 {
		delete(l.callers, c)
		return w
	}
	l.callers[c] = ws[1:]
	l.roundRobin = append(l.roundRobin, c)
	return w
}

func (l *rankQueue) remove(w *Waiter) {
	ws := l.callers[w.Caller]
	for i := range ws {
		if ws[i] == w {
			l.callers[w.Caller] = append(ws[:i:i], ws[i+1:]...)
			l.size--
			break
		}
	}
	if len(l.callers[w.Caller]) == 0 {
		delete(l.callers, w.Caller)
		l.removeCaller(w.Caller)
	}
}

func (l *rankQueue) removeCaller(c model.CallerName) {
	for i := range l.roundRobin {
		if l.roundRobin[i] == c {
			l.roundRobin = append(l.roundRobin[:i:i], l.roundRobin[i+1:]...)
			return
		}
	}
}
