package timeline

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// defaultCapacity is the default number of events that a Log keeps.
	defaultCapacity = 8192
	// outputQueue is the largest number of events that wait to be written.
	outputQueue = 4096
)

// ErrInvalidLine is returned when a line is not an encoded event.
var ErrInvalidLine = errors.New("timeline: not an event")

// Log keeps the newest events of one process. Create one with New. Its methods
// may be called from any goroutine.
type Log struct {
	process     string
	incarnation fleet.Incarnation
	// output is nil if events are not written.
	output io.Writer
	queue  chan Event

	mutex sync.Mutex
	clock hybridClock
	// ring holds the newest events. Once it is full, next is the index of the
	// oldest event.
	ring     []Event
	next     int
	capacity int
	// dropped counts events that were not written because the queue was full.
	dropped uint64
}

// Option configures a Log.
type Option func(*Log)

// New returns an empty log for the incarnation i of a process.
func New(process string, i fleet.Incarnation, options ...Option) *Log {
	l := &Log{
		process:     process,
		incarnation: i,
		capacity:    defaultCapacity,
		queue:       make(chan Event, outputQueue),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// WithCapacity sets the number of events that the log keeps, at least 1.
func WithCapacity(n int) Option {
	return func(l *Log) { l.capacity = max(n, 1) }
}

// WithOutput makes Serve write each event to w as a JSON line.
func WithOutput(w io.Writer) Option {
	return func(l *Log) { l.output = w }
}

// Dropped returns how many events were kept in memory but not written.
func (l *Log) Dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dropped
}

// Events returns the newest events in the order in which they were recorded, at
// most limit of them and none from before since. A limit of 0 returns none.
func (l *Log) Events(since time.Time, limit int) []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ordered := slices.Concat(l.ring[l.next:], l.ring[:l.next])
	ordered = slices.DeleteFunc(ordered, func(e Event) bool { return e.At.Before(since) })
	return ordered[len(ordered)-min(limit, len(ordered)):]
}

// Logical returns a logical time later than that of every recorded event, for
// messages to peers.
func (l *Log) Logical() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.tick(time.Now())
}

// Observe advances the logical clock to the time of a message from a peer, so
// that events recorded afterwards are ordered after it.
func (l *Log) Observe(logical uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.clock.observe(logical)
}

// Record implements Recorder.
func (l *Log) Record(e Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e.At = time.Now().Round(0).UTC()
	e.Logical = l.clock.tick(e.At)
	e.Process = l.process
	e.Incarnation = l.incarnation
	l.store(e)
	if l.output == nil {
		return
	}
	select {
	case l.queue <- e:
	default:
		l.dropped++
	}
}

// Serve writes events to the output until the context ends, then writes the
// events that are still queued.
func (l *Log) Serve(ctx context.Context) error {
	for {
		select {
		case e := <-l.queue:
			if err := l.write(e); err != nil {
				return err
			}
		case <-ctx.Done():
			return l.flush(ctx)
		}
	}
}

func (l *Log) flush(ctx context.Context) error {
	for {
		select {
		case e := <-l.queue:
			if err := l.write(e); err != nil {
				return err
			}
		default:
			return ctx.Err()
		}
	}
}

func (l *Log) store(e Event) {
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % l.capacity
}

func (l *Log) write(e Event) error {
	b, err := Encode(e)
	if err != nil {
		return err
	}
	_, err = l.output.Write(append(b, '\n'))
	return errors.Wrap(err, "timeline: write")
}

// Decode decodes an event from a JSON line. It returns ErrInvalidLine if the
// line is not an event.
func Decode(line []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil || e.Kind == "" {
		return Event{}, errors.Wrapf(ErrInvalidLine, "%q", line)
	}
	return e, nil
}

// Encode encodes an event as a JSON line without the line break.
func Encode(e Event) ([]byte, error) {
	b, err := json.Marshal(e)
	return b, errors.Wrap(err, "timeline: encode")
}
