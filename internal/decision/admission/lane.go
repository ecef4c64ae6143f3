package admission

import "oleandersill.example/oleandersill/internal/model"

// lane holds the waiting requests of one rank, first-in first-out for each caller, and serves callers in turn.
type lane struct {
	callers map[model.CallerName][]*Waiter
	// turn lists the callers with waiting requests; the first one is served next and then goes to the end.
	turn []model.CallerName
	size int
}

func newLane() lane { return lane{callers: map[model.CallerName][]*Waiter{}} }

func (l *lane) ofCaller(c model.CallerName) int { return len(l.callers[c]) }

func (l *lane) push(w *Waiter) {
	if len(l.callers[w.Caller]) == 0 {
		l.turn = append(l.turn, w.Caller)
	}
	l.callers[w.Caller] = append(l.callers[w.Caller], w)
	l.size++
}

func (l *lane) pop() *Waiter {
	c := l.turn[0]
	l.turn = l.turn[1:]
	ws := l.callers[c]
	w := ws[0]
	l.size--
	if len(ws) == 1 {
		delete(l.callers, c)
		return w
	}
	l.callers[c] = ws[1:]
	l.turn = append(l.turn, c)
	return w
}

func (l *lane) remove(w *Waiter) {
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
		l.removeTurn(w.Caller)
	}
}

func (l *lane) removeTurn(c model.CallerName) {
	for i := range l.turn {
		if l.turn[i] == c {
			l.turn = append(l.turn[:i:i], l.turn[i+1:]...)
			return
		}
	}
}
