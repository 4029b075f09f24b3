package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds the log lines that wait to be written.
	queueBytes = 256 << 10
	// queueFlush is how long lines may be gathered.
	queueFlush = 200 * time.Millisecond
)

// Queue is a writer that never blocks: lines wait in memory for a slow reader,
// and those for which there is no room are dropped and counted. Use NewQueue.
type Queue struct {
	out     io.Writer
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}

	mutex  sync.Mutex
	lines  []byte
	spare  []byte
	closed bool
}

// NewQueue returns a Queue before a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Dropped returns the number of lines that found no room.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Write implements io.Writer. It takes the whole line or drops it.
func (q *Queue) Write(line []byte) (int, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed || len(q.lines)+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.lines = append(q.lines, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits, for at most a bound, and stops.
func (q *Queue) Close(bound time.Duration) {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-q.done:
	case <-t.C:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for range q.wake {
		lines, closed := q.take()
		// An error means that nobody reads the log: there is nowhere to say so.
		_, _ = q.out.Write(lines)
		if closed {
			return
		}
		time.Sleep(queueFlush)
	}
}

// take returns the lines that wait, and whether the queue is closed.
func (q *Queue) take() ([]byte, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines := q.lines
	q.lines, q.spare = q.spare[:0], lines
	return lines, q.closed
}
