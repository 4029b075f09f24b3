package wire

// Clock is the logical clock of a daemon. Frames carry its time to peers, so
// that events are ordered across daemons. Its methods may be called from any
// goroutine.
type Clock interface {
	// Logical returns a time later than that of every event so far.
	Logical() uint64
	// Observe advances the clock past a peer's time.
	Observe(logical uint64)
}

// noClock is the default Clock; its time is always 0.
type noClock struct{}

// Option changes a Client or a Server under construction.
type Option func(*options)

type options struct {
	clock  Clock
	limits Limits
}

// WithClock makes frames carry the logical time of c.
func WithClock(c Clock) Option {
	return func(o *options) { o.clock = c }
}

// Logical implements Clock.
func (noClock) Logical() uint64 {
	return 0
}

// Observe implements Clock.
func (noClock) Observe(uint64) {}

func newOptions(opts []Option) options {
	o := options{clock: noClock{}}
	for _, f := range opts {
		f(&o)
	}
	return o
}
