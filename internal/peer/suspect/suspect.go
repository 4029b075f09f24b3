package suspect

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// callTimeout bounds one call of a peer.
	callTimeout = 300 * time.Millisecond
	// queueLength bounds the messages that wait to be spread.
	queueLength = 256
	// renewInterval is the time between two renewals of a reservation.
	renewInterval = quarantine.ReservationTime / 3
	// sweepInterval is the time between two readings of the table.
	sweepInterval = 30 * time.Second
	// tableTimeout bounds one call of the table.
	tableTimeout = 2 * time.Second
)

// Options are what a Runtime needs. Caller, Loop and Source are required.
type Options struct {
	Caller wire.Caller
	Loop   *loop.Loop
	// Recorder may be nil.
	Recorder timeline.Recorder
	// Self is this daemon's address for peers.
	Self   netip.AddrPort
	Source view.Source
	// Table may be nil: quarantines then do not outlast the daemons.
	Table table.Table
}

// Runtime keeps the daemon's quarantine and spreads it. Use New. Its methods
// may be called from any goroutine.
type Runtime struct {
	options Options
	// own are this daemon's reservations; they and quarantine are owned by
	// the loop.
	own        map[quarantine.Fingerprint]quarantine.Reservation
	quarantine quarantine.Quarantine
	queue      chan message
	// rows are the fingerprints to write to the table.
	rows chan quarantine.Fingerprint
	// known is the newest copy of all that is not clear.
	known atomic.Pointer[known]
}

type known struct {
	busy    []fleet.ServerID
	entries map[quarantine.Fingerprint]quarantine.Entry
}

// New returns a Runtime that answers once o.Loop is served.
func New(o Options) *Runtime {
	r := &Runtime{
		options: o,
		own:     make(map[quarantine.Fingerprint]quarantine.Reservation),
		queue:   make(chan message, queueLength),
		rows:    make(chan quarantine.Fingerprint, queueLength),
	}
	r.known.Store(&known{})
	return r
}

// Absolve says that a suspect ran apart without a crash.
func (r *Runtime) Absolve(ctx context.Context, f quarantine.Fingerprint) {
	r.do(ctx, func(now time.Time) {
		delete(r.own, f)
		r.quarantine.ClearSuspect(now, f)
	})
	r.send(message{Kind: kindAbsolve, Fingerprint: f})
}

// Busy returns the servers that run suspects.
func (r *Runtime) Busy() []fleet.ServerID {
	return r.known.Load().busy
}

// Check returns what is known of a fingerprint. It does not block.
func (r *Runtime) Check(now time.Time, f quarantine.Fingerprint) quarantine.Entry {
	e, ok := r.known.Load().entries[f]
	if !ok || clock.Passed(now, e.Until) {
		return quarantine.Entry{}
	}
	return e
}

// Crashed says that a request ran on a server that crashed, and returns its
// standing. Apart is whether the request held the server's reservation.
func (r *Runtime) Crashed(ctx context.Context, f quarantine.Fingerprint, c quarantine.Crash, apart bool) quarantine.Status {
	var s quarantine.Status
	r.do(ctx, func(now time.Time) {
		if apart {
			delete(r.own, f)
		}
		s = r.quarantine.RecordCrash(now, quarantine.CrashReport{Crash: c, Fingerprint: f, Isolated: apart, At: now})
	})
	r.send(message{Kind: kindStrike, Fingerprint: f, Server: c.Server, Boot: c.Boot, Apart: apart})
	if s == quarantine.Quarantined {
		r.record(f, c.Server)
		r.keep(f)
	}
	return s
}

// Free gives a reservation back.
func (r *Runtime) Free(ctx context.Context, f quarantine.Fingerprint) {
	var s fleet.ServerID
	r.do(ctx, func(now time.Time) {
		s = r.own[f].Server
		delete(r.own, f)
		r.quarantine.Release(now, f)
	})
	r.send(message{Kind: kindFree, Fingerprint: f, Server: s})
}

// Handle answers peers.
func (r *Runtime) Handle(m *wire.Mux) {
	m.Handle(wire.KindSuspect, func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var in message
		if err := msgpack.Unmarshal(body, &in); err != nil {
			return nil, errors.Wrap(err, "suspect: message")
		}
		return r.handle(ctx, in), nil
	})
}

// Reserve asks for a suspect to be the only one on a server, here and at every
// peer that answers in time. The reservation ends with Absolve, Crashed or
// Free; until then it is renewed.
func (r *Runtime) Reserve(ctx context.Context, f quarantine.Fingerprint, s fleet.ServerID) bool {
	v := quarantine.Reservation{Fingerprint: f, Holder: r.options.Self, Server: s}
	var ok bool
	r.do(ctx, func(now time.Time) {
		if ok = r.quarantine.Reserve(now, v); ok {
			r.own[f] = v
		}
	})
	if !ok {
		return false
	}
	if r.ask(ctx, messageOf(v)) {
		return true
	}
	r.Free(ctx, f)
	return false
}

// Serve spreads what is known and reads the table until the context ends.
func (r *Runtime) Serve(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { r.follow(ctx) })
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.renew(ctx)
		case m := <-r.queue:
			r.ask(ctx, m)
		}
	}
}

// ask sends a message to every peer and reports whether none objects. A peer
// that does not answer does not object.
func (r *Runtime) ask(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var w sync.WaitGroup
	var taken atomic.Bool
	for _, p := range r.options.Source.State().Members {
		to := p.ID.Address
		if to == r.options.Self {
			continue
		}
		w.Go(func() {
			var a answer
			err := r.options.Caller.Call(ctx, to, wire.KindSuspect, m, &a)
			if err == nil && a.Taken {
				taken.Store(true)
			}
		})
	}
	w.Wait()
	return !taken.Load()
}

// do runs f on the control goroutine and then publishes what is known.
func (r *Runtime) do(ctx context.Context, f func(now time.Time)) {
	// An error means that the daemon stops or the request is over; what is
	// known then is of no use here.
	_ = r.options.Loop.Do(context.WithoutCancel(ctx), func(now time.Time) {
		f(now)
		r.known.Store(&known{busy: r.quarantine.ReservedServers(now), entries: r.quarantine.Entries(now)})
	})
}

func (r *Runtime) handle(ctx context.Context, m message) answer {
	var a answer
	r.do(ctx, func(now time.Time) {
		switch m.Kind {
		case kindAbsolve:
			r.quarantine.ClearSuspect(now, m.Fingerprint)
		case kindFree:
			// A newer reservation may have overtaken this message.
			if r.quarantine.Check(now, m.Fingerprint).ReservedOn == m.Server {
				r.quarantine.Release(now, m.Fingerprint)
			}
		case kindReserve:
			v := quarantine.Reservation{Fingerprint: m.Fingerprint, Holder: m.Holder, Server: m.Server}
			a.Taken = !r.quarantine.Accept(now, v)
		case kindStrike:
			c := quarantine.Crash{Server: m.Server, Boot: m.Boot}
			r.quarantine.RecordCrash(now, quarantine.CrashReport{
				Crash: c, Fingerprint: m.Fingerprint, Isolated: m.Apart, At: now.Add(-max(m.Age, 0)),
			})
		}
		a.Standing = r.quarantine.Check(now, m.Fingerprint).Status
	})
	return a
}

func (r *Runtime) record(f quarantine.Fingerprint, s fleet.ServerID) {
	if r.options.Recorder == nil {
		return
	}
	r.options.Recorder.Record(timeline.Event{
		Kind:   timeline.RequestQuarantined,
		Server: s,
		Detail: "fingerprint " + string(keyOf(f)[len(prefix):]),
	})
}

// renew renews this daemon's reservations, here and at the peers. A peer's
// objection changes nothing: the suspect runs already.
func (r *Runtime) renew(ctx context.Context) {
	var own []quarantine.Reservation
	r.do(ctx, func(now time.Time) {
		for _, v := range r.own {
			r.quarantine.Renew(now, v)
			own = append(own, v)
		}
	})
	for _, v := range own {
		r.ask(ctx, messageOf(v))
	}
}

// send spreads a message soon. When too many wait the oldest is dropped: the
// table and the next crash make up for it.
func (r *Runtime) send(m message) {
	for {
		select {
		case r.queue <- m:
			return
		default:
		}
		select {
		case <-r.queue:
		default:
		}
	}
}

func messageOf(v quarantine.Reservation) message {
	return message{Kind: kindReserve, Fingerprint: v.Fingerprint, Holder: v.Holder, Server: v.Server}
}
