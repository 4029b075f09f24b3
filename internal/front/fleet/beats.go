package fleet

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// minEarlyInterval is the minimum time between two heartbeats of a daemon for which a
	// heartbeat was requested. earlyPerDaemon is that time for each daemon of the fleet, if it is
	// longer together: all daemons write at most 400 such heartbeats a second, which leaves the
	// store room for other writes.
	minEarlyInterval = 50 * time.Millisecond
	earlyPerDaemon   = 2500 * time.Microsecond
)

// beats are requests for heartbeats, and for reads of those of all daemons after them. The zero
// value serves none.
type beats struct {
	mutex sync.Mutex
	// self is the ID of this daemon; empty until the heartbeats are served.
	self string
	// wake asks for a heartbeat; it holds at most one request.
	wake chan struct{}
	// waiting are the requests that the next heartbeat serves.
	waiting []beatRequest
	// begunAt is when the last heartbeat was begun.
	begunAt time.Time
}

// beatRequest is a request for a heartbeat, and for a read if read is set. done is closed once
// it has been served.
type beatRequest struct {
	read bool
	done chan struct{}
}

func (b *beats) serve(self string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.self, b.wake = self, make(chan struct{}, 1)
}

// request adds a request. It returns nil if none are served.
func (b *beats) request(read bool) <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.self == "" {
		return nil
	}
	r := beatRequest{read: read, done: make(chan struct{})}
	b.waiting = append(b.waiting, r)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return r.done
}

// id returns the ID of this daemon; empty until the heartbeats are served.
func (b *beats) id() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.self
}

// begin returns the requests that the next heartbeat serves.
func (b *beats) begin() []beatRequest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	waiting := b.waiting
	b.waiting, b.begunAt = nil, time.Now()
	return waiting
}

// end completes the requests for reads, or the others if reads is not set, if they were served.
// Otherwise it keeps them for the next heartbeat. It returns the requests of the other kind.
func (b *beats) end(requests []beatRequest, reads, served bool) (rest []beatRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, r := range requests {
		switch {
		case r.read != reads:
			rest = append(rest, r)
		case served:
			close(r.done)
		default:
			b.waiting = append(b.waiting, r)
		}
	}
	return rest
}

// wantsRead reports whether a request asks for a read.
func (b *beats) wantsRead() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.ContainsFunc(b.waiting, func(r beatRequest) bool { return r.read })
}

// wantsOnlyReads reports whether requests wait and none asks for a heartbeat.
func (b *beats) wantsOnlyReads() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.waiting) > 0 && !slices.ContainsFunc(b.waiting, func(r beatRequest) bool { return !r.read })
}

// earlyInterval returns the minimum time between two heartbeats of a daemon in a fleet of a
// number of daemons.
func earlyInterval(daemons int) time.Duration {
	return max(minEarlyInterval, time.Duration(daemons)*earlyPerDaemon)
}

// beat writes a heartbeat and serves the requests for it. It returns those for a read.
func (f *State) beat(ctx context.Context, self func() Member) []beatRequest {
	requests := f.beats.begin()
	err := f.Heartbeat(ctx, self)
	if err != nil {
		f.recordFailure(memberTable, err)
	}
	return f.beats.end(requests, false, err == nil)
}

// pauseBeats waits for the time between two heartbeats, and writes those that are requested
// meanwhile, with a time between them. It returns early if a read is requested.
func (f *State) pauseBeats(ctx context.Context, interval, early time.Duration, self func() Member) {
	end := time.NewTimer(interval)
	defer end.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-f.beats.wake:
		}
		Sleep(ctx, early-time.Since(f.beats.begunAt))
		if f.beats.wantsRead() {
			return
		}
		f.beats.end(f.beat(ctx, self), true, false)
	}
}

// AwaitHeartbeat waits until a heartbeat that begins after the call has been written, at most
// for a time. It returns at once if this daemon writes none or the store is not reachable.
func (f *State) AwaitHeartbeat(ctx context.Context, most time.Duration) {
	if f.Reachable() {
		f.awaitBeat(ctx, false, most)
	}
}

// AwaitMembers waits until the rows of all daemons have been read after the call, at most for a
// time, and reports whether they have. It also returns true if this daemon reads none. A store that does
// not answer this daemon may answer others, and rows that were read before may be old.
func (f *State) AwaitMembers(ctx context.Context, most time.Duration) bool {
	return f.awaitBeat(ctx, true, most)
}

func (f *State) awaitBeat(ctx context.Context, read bool, most time.Duration) bool {
	done := f.beats.request(read)
	if done == nil {
		return true
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// recordNamed records the software versions in this daemon's written row.
func (f *State) recordNamed(inUse map[string][]string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.named = inUse
}

// AwaitNamed waits until this daemon's row contains a software version of a service, at most
// for a time, and reports whether it does: after the death of all daemons, and while this one is cut off
// from the others, the rows show at which versions streams can have begun.
func (f *State) AwaitNamed(ctx context.Context, service, software string, most time.Duration) bool {
	return f.Named(service, software) || f.awaitBeat(ctx, false, most) && f.Named(service, software)
}

// Named reports whether this daemon's row contains a software version of a service. It also returns
// true if this daemon writes no row.
func (f *State) Named(service, software string) bool {
	if f.beats.id() == "" {
		return true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Contains(f.named[service], software)
}
