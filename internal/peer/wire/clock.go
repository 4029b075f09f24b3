package wire

// Clock is the logical clock of a daemon, which frames carry to its peers so
// that events are ordered over daemons. Its methods may be called from any
// goroutine.
type Clock interface {
	// Logical returns a time later than that of every event so far.
	Logical() uint64
	// Observe takes over a peer's time.
	Observe(logical uint64)
}

// noClock is the Clock of daemons that keep none.
type noClock struct{}

// Option changes a Client or a Server under construction.
type Option func(*options)

type options struct {
	clock Clock
}

// WithClock makes frames carry the times of c.
func WithClock(c Clock) Option {
	return func(o *options) { o.clock = c }
}

// Logical implements Clock.
func (noClock) Logical() uint64 {
	return 0
}

// Observe implements Clock.
func (noClock) Observe(uint64) {}

func newOptions(all []Option) options {
	o := options{clock: noClock{}}
	for _, f := range all {
		f(&o)
	}
	return o
}
