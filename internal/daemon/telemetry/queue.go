package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes limits the size of the log lines that wait to be written.
	queueBytes = 256 << 10
	// queueFlushInterval is the time between two writes.
	queueFlushInterval = 200 * time.Millisecond
)

// Queue is a writer that never blocks: lines are buffered in memory until the
// underlying writer takes them, and lines that do not fit into the buffer are
// dropped and counted. Create one with NewQueue.
type Queue struct {
	out     io.Writer
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}

	mutex sync.Mutex
	lines []byte
	// spare is the buffer returned by the last take, reused for lines.
	spare  []byte
	closed bool
}

// NewQueue returns a Queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Write implements io.Writer. It buffers the complete line or drops it.
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

// Close stops the queue and waits until the buffered lines are written, for at
// most timeout.
func (q *Queue) Close(timeout time.Duration) {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(timeout)
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
		// The error is ignored because it cannot be logged: it means that the log
		// itself cannot be written.
		_, _ = q.out.Write(lines)
		if closed {
			return
		}
		time.Sleep(queueFlushInterval)
	}
}

// take removes and returns the buffered lines, valid until the next call, and
// reports whether the queue is closed.
func (q *Queue) take() ([]byte, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lines := q.lines
	q.lines, q.spare = q.spare[:0], lines
	return lines, q.closed
}
