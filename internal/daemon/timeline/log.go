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
	// defaultCapacity is the number of events that a Log remembers.
	defaultCapacity = 8192
	// outputQueue is the number of events that may wait to be written.
	outputQueue = 4096
)

// ErrLine says that a line is not an event.
var ErrLine = errors.New("timeline: not an event")

// Log remembers the newest events of one process. Use New. Its methods may be
// called from any goroutine.
type Log struct {
	process     string
	incarnation fleet.Incarnation
	// output is nil when events are not written anywhere.
	output io.Writer
	queue  chan Event

	mutex sync.Mutex
	clock hybrid
	// ring holds the newest events; next is the index of the oldest once the
	// ring is full.
	ring     []Event
	next     int
	capacity int
	// dropped counts events that were not written because output was slow.
	dropped uint64
}

// Option changes how a Log is made.
type Option func(*Log)

// New returns an empty log of one run of a process.
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

// WithCapacity sets the number of events that the log remembers, at least 1.
func WithCapacity(n int) Option {
	return func(l *Log) { l.capacity = max(n, 1) }
}

// WithOutput makes Serve write each event to w as a JSON line.
func WithOutput(w io.Writer) Option {
	return func(l *Log) { l.output = w }
}

// Dropped returns how many events were remembered but not written.
func (l *Log) Dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dropped
}

// Events returns the newest events, at most limit of them and none from before
// since, in their order. A limit of 0 is none.
func (l *Log) Events(since time.Time, limit int) []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ordered := slices.Concat(l.ring[l.next:], l.ring[:l.next])
	ordered = slices.DeleteFunc(ordered, func(e Event) bool { return e.At.Before(since) })
	return ordered[len(ordered)-min(limit, len(ordered)):]
}

// Logical returns a logical time that is later than that of every event so
// far, for messages to peers.
func (l *Log) Logical() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.tick(time.Now())
}

// Observe takes over the logical time of a message from a peer: events
// recorded from now on are ordered after it.
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
	l.remember(e)
	if l.output == nil {
		return
	}
	select {
	case l.queue <- e:
	default:
		l.dropped++
	}
}

// Serve writes events to the output until the context ends, and then those
// that still wait.
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

func (l *Log) remember(e Event) {
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

// Decode returns the event of a JSON line. Its error is ErrLine.
func Decode(line []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil || e.Kind == "" {
		return Event{}, errors.Wrapf(ErrLine, "%q", line)
	}
	return e, nil
}

// Encode returns the JSON line of an event, without the line break.
func Encode(e Event) ([]byte, error) {
	b, err := json.Marshal(e)
	return b, errors.Wrap(err, "timeline: encode")
}
