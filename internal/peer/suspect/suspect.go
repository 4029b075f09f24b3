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
	// callTimeout bounds the calls of one broadcast.
	callTimeout = 300 * time.Millisecond
	// queueLength bounds the messages that wait to be sent, and the
	// fingerprints that wait to be written.
	queueLength = 256
	// renewInterval is the time between two renewals of a reservation.
	renewInterval = quarantine.ReservationTime / 3
	// tableReadInterval is the time between two reads of the table.
	tableReadInterval = 30 * time.Second
	// tableTimeout bounds one call of the table.
	tableTimeout = 2 * time.Second
)

// Options configure a Runtime. Caller, Loop and Source are required.
type Options struct {
	Caller wire.Caller
	Loop   *loop.Loop
	// Recorder may be nil.
	Recorder timeline.Recorder
	// Self is this daemon's address for peers.
	Self   netip.AddrPort
	Source view.Source
	// Table may be nil; quarantines are then lost when all daemons have
	// restarted.
	Table table.Table
}

// Runtime maintains the daemon's quarantine and shares it with peers. Use New.
// Its methods may be called from any goroutine.
type Runtime struct {
	options Options
	// reservations are those of this daemon. They and quarantine are owned by
	// the loop.
	reservations map[quarantine.Fingerprint]quarantine.Reservation
	quarantine   quarantine.Quarantine
	queue        chan message
	// writes are the fingerprints to write to the table.
	writes chan quarantine.Fingerprint
	// snapshot is the newest copy of the entries that are not clear.
	snapshot atomic.Pointer[snapshot]
}

type snapshot struct {
	reserved []fleet.ServerID
	entries  map[quarantine.Fingerprint]quarantine.Entry
}

// New returns a Runtime. Methods that use the loop block until o.Loop is
// served.
func New(o Options) *Runtime {
	r := &Runtime{
		options:      o,
		reservations: make(map[quarantine.Fingerprint]quarantine.Reservation),
		queue:        make(chan message, queueLength),
		writes:       make(chan quarantine.Fingerprint, queueLength),
	}
	r.snapshot.Store(&snapshot{})
	return r
}

// ClearSuspect records that a suspect ran alone on its reserved server without
// a crash. It ends the reservation.
func (r *Runtime) ClearSuspect(ctx context.Context, f quarantine.Fingerprint) {
	r.do(ctx, func(now time.Time) {
		delete(r.reservations, f)
		r.quarantine.ClearSuspect(now, f)
	})
	r.enqueue(message{Kind: kindClear, Fingerprint: f})
}

// ReservedServers returns the servers that are reserved for suspects. It does
// not block.
func (r *Runtime) ReservedServers() []fleet.ServerID {
	return r.snapshot.Load().reserved
}

// Check returns the entry of a fingerprint, the zero Entry if it is clear. It
// does not block.
func (r *Runtime) Check(now time.Time, f quarantine.Fingerprint) quarantine.Entry {
	e, ok := r.snapshot.Load().entries[f]
	if !ok || clock.Passed(now, e.Until) {
		return quarantine.Entry{}
	}
	return e
}

// RecordCrash records that a request ran on a server that crashed, and returns
// the request's status. isolated is whether the request held the server's
// reservation, which then ends.
func (r *Runtime) RecordCrash(ctx context.Context, f quarantine.Fingerprint, c quarantine.Crash, isolated bool) quarantine.Status {
	var s quarantine.Status
	r.do(ctx, func(now time.Time) {
		if isolated {
			delete(r.reservations, f)
		}
		s = r.quarantine.RecordCrash(now, quarantine.CrashReport{Crash: c, Fingerprint: f, Isolated: isolated, At: now})
	})
	r.enqueue(message{Kind: kindCrash, Fingerprint: f, Server: c.Server, Boot: c.Boot, Isolated: isolated})
	if s == quarantine.Quarantined {
		r.record(f, c.Server)
		r.queueWrite(f)
	}
	return s
}

// Release releases a reservation.
func (r *Runtime) Release(ctx context.Context, f quarantine.Fingerprint) {
	var s fleet.ServerID
	r.do(ctx, func(now time.Time) {
		s = r.reservations[f].Server
		delete(r.reservations, f)
		r.quarantine.Release(now, f)
	})
	r.enqueue(message{Kind: kindRelease, Fingerprint: f, Server: s})
}

// Handle registers the handler of peers' messages.
func (r *Runtime) Handle(m *wire.Mux) {
	m.Handle(wire.KindSuspect, func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var in message
		if err := msgpack.Unmarshal(body, &in); err != nil {
			return nil, errors.Wrap(err, "suspect: message")
		}
		return r.handle(ctx, in), nil
	})
}

// Reserve reserves a server for one suspect, at this daemon and at every peer
// that answers in time, and reports whether none of them rejected it. The
// reservation is renewed until ClearSuspect, RecordCrash or Release ends it.
func (r *Runtime) Reserve(ctx context.Context, f quarantine.Fingerprint, s fleet.ServerID) bool {
	v := quarantine.Reservation{Fingerprint: f, Holder: r.options.Self, Server: s}
	var ok bool
	r.do(ctx, func(now time.Time) {
		if ok = r.quarantine.Reserve(now, v); ok {
			r.reservations[f] = v
		}
	})
	if !ok {
		return false
	}
	if r.broadcast(ctx, messageOf(v)) {
		return true
	}
	r.Release(ctx, f)
	return false
}

// Serve sends queued messages, renews reservations and synchronizes with the
// table until the context ends.
func (r *Runtime) Serve(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { r.syncTable(ctx) })
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.renew(ctx)
		case m := <-r.queue:
			r.broadcast(ctx, m)
		}
	}
}

// broadcast sends a message to every peer and reports whether none rejects it.
// A peer that does not answer does not count as rejecting.
func (r *Runtime) broadcast(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var w sync.WaitGroup
	var rejected atomic.Bool
	for _, p := range r.options.Source.State().Members {
		to := p.ID.Address
		if to == r.options.Self {
			continue
		}
		w.Go(func() {
			var a answer
			err := r.options.Caller.Call(ctx, to, wire.KindSuspect, m, &a)
			if err == nil && a.Rejected {
				rejected.Store(true)
			}
		})
	}
	w.Wait()
	return !rejected.Load()
}

// do runs f on the control goroutine and then publishes a new snapshot.
func (r *Runtime) do(ctx context.Context, f func(now time.Time)) {
	// An error means that the daemon is stopping or the request has ended, so
	// the result is no longer needed.
	_ = r.options.Loop.Do(context.WithoutCancel(ctx), func(now time.Time) {
		f(now)
		r.snapshot.Store(&snapshot{reserved: r.quarantine.ReservedServers(now), entries: r.quarantine.Entries(now)})
	})
}

func (r *Runtime) handle(ctx context.Context, m message) answer {
	var a answer
	r.do(ctx, func(now time.Time) {
		switch m.Kind {
		case kindClear:
			r.quarantine.ClearSuspect(now, m.Fingerprint)
		case kindRelease:
			// A newer reservation of another server may have arrived before
			// this message.
			if r.quarantine.Check(now, m.Fingerprint).ReservedOn == m.Server {
				r.quarantine.Release(now, m.Fingerprint)
			}
		case kindReserve:
			v := quarantine.Reservation{Fingerprint: m.Fingerprint, Holder: m.Holder, Server: m.Server}
			a.Rejected = !r.quarantine.Accept(now, v)
		case kindCrash:
			c := quarantine.Crash{Server: m.Server, Boot: m.Boot}
			r.quarantine.RecordCrash(now, quarantine.CrashReport{
				Crash: c, Fingerprint: m.Fingerprint, Isolated: m.Isolated, At: now.Add(-max(m.Age, 0)),
			})
		}
		a.Status = r.quarantine.Check(now, m.Fingerprint).Status
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

// renew renews this daemon's reservations, locally and at the peers. A
// rejection by a peer has no effect, because the suspect is already running.
func (r *Runtime) renew(ctx context.Context) {
	var own []quarantine.Reservation
	r.do(ctx, func(now time.Time) {
		for _, v := range r.reservations {
			r.quarantine.Renew(now, v)
			own = append(own, v)
		}
	})
	for _, v := range own {
		r.broadcast(ctx, messageOf(v))
	}
}

// enqueue queues a message for all peers. When the queue is full the oldest
// message is dropped; peers then receive the suspect's status only with a row of
// the table or with the next crash.
func (r *Runtime) enqueue(m message) {
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
