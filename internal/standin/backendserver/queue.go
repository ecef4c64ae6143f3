package backendserver

import (
	"slices"
	"sync"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/lockorder"
	"oleandersill.example/oleandersill/internal/standin"
)

// job is a request that waits for a slot or occupies one. The queue's lock guards end, started and stopped.
type job struct {
	exec     Execution
	deadline time.Time
	// end is how the job has ended or will end. started reports whether it ever occupied a slot, stopped whether end is
	// final.
	end     End
	started bool
	stopped bool
	// stop is closed to stop the job before its end, done is closed when it has ended.
	stop chan struct{}
	done chan struct{}
}

func newJob(e Execution, deadline time.Time) *job {
	return &job{exec: e, deadline: deadline, end: EndRunning, stop: make(chan struct{}), done: make(chan struct{})}
}

func (j *job) expired(now time.Time) bool { return !j.deadline.IsZero() && !now.Before(j.deadline) }

// queue is the shared table of the waiting and the running jobs, which are at most size together.
type queue struct {
	mu      lockorder.Mutex
	cond    *sync.Cond
	size    int
	waiting []*job
	running []*job
	closed  bool
}

func newQueue(size int) *queue {
	q := &queue{mu: lockorder.New(standin.OrderBackendQueue), size: size}
	q.cond = sync.NewCond(&q.mu)
	return q
}

// push adds a job, or returns false if the queue is full or closed.
func (q *queue) push(j *job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.waiting)+len(q.running) >= q.size {
		return false
	}
	q.waiting = append(q.waiting, j)
	q.cond.Signal()
	return true
}

// take waits for a job and marks it as running. It returns false once the queue is closed and no job waits. Jobs whose
// deadline passed while they waited end without being started.
func (q *queue) take() (*job, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		for len(q.waiting) == 0 {
			if q.closed {
				return nil, false
			}
			q.cond.Wait()
		}
		j := q.waiting[0]
		if j.expired(time.Now()) {
			q.stopLocked(j, EndDeadline)
			continue
		}
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running = append(q.running, j)
		j.started = true
		return j, true
	}
}

// finish removes a running job and returns how it ended, which is end unless the job was stopped before.
func (q *queue) finish(j *job, end End) End {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = slices.DeleteFunc(q.running, func(r *job) bool { return r == j })
	if !j.stopped {
		j.stopped = true
		j.end = end
	}
	return j.end
}

// result returns how a job ended and whether it was started. The result is final once done is closed.
func (q *queue) result(j *job) (end End, started bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return j.end, j.started
}

// stop stops a job: a waiting job ends at once, a running job as soon as its worker receives the signal.
func (q *queue) stop(j *job, end End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopLocked(j, end)
}

// stopAttempt stops the jobs of an attempt and reports whether there were any.
func (q *queue) stopAttempt(id backend.AttemptID, end End) bool {
	return q.stopWhere(end, func(j *job) bool { return j.exec.Attempt == id })
}

// stopAll stops every job.
func (q *queue) stopAll(end End) {
	q.stopWhere(end, func(*job) bool { return true })
}

func (q *queue) stopWhere(end End, selected func(*job) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := false
	for _, j := range slices.Concat(q.waiting, q.running) {
		if selected(j) {
			q.stopLocked(j, end)
			found = true
		}
	}
	return found
}

// stopLocked is stop for callers that hold the lock.
func (q *queue) stopLocked(j *job, end End) {
	if j.stopped {
		return
	}
	j.stopped = true
	j.end = end
	close(j.stop)
	if !j.started {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *job) bool { return w == j })
		close(j.done)
	}
}

func (q *queue) load() backend.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return backend.Load{Running: len(q.running), Waiting: len(q.waiting)}
}

// close makes push refuse new jobs, and take return false once no job waits, which ends the workers.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.cond.Broadcast()
}
