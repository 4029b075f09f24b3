// Package reach determines whether this daemon reaches the backend servers. It watches the
// connections and requests to them, and checks new connections when they are in doubt,
// see control/partition.
package reach

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/partition"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// tick is the time between two looks at the requests without a response.
const tick = 50 * time.Millisecond

// Reach determines whether this daemon reaches the servers. Use New. Its methods may be
// called from any goroutine.
type Reach struct {
	dial  backend.Dialer
	log   *zap.Logger
	fleet *fleet.State
	self  string
	// startedAt is the origin of answered.
	startedAt time.Time
	// answered is when a server last sent something, as the time since startedAt.
	answered atomic.Int64

	mutex    sync.Mutex
	detector partition.Detector
	// calls are the requests that wait for a response or for more of it.
	calls map[*call]struct{}
	// began is called with the time of the last answer when a partition begins.
	began func(since time.Time)
	// closeIdle closes the idle connections to servers: after a partition in which they
	// hang, some of them would end a request that is sent on them.
	closeIdle func()
	// checking is closed when the running check ends; nil while none runs.
	checking chan struct{}
	// partitionedPeers are the other daemons that are partitioned.
	partitionedPeers set.Set[string]
}

// New returns a Reach of the daemon self that connects to servers with a Dialer.
func New(f *fleet.State, d backend.Dialer, self string, log *zap.Logger) *Reach {
	return &Reach{fleet: f, self: self, dial: d, log: log, startedAt: time.Now(), calls: make(map[*call]struct{}), began: func(time.Time) {}, closeIdle: func() {}}
}

// OnPartition sets the function that is called when a partition begins, with the time at
// which a server last answered. It must be called before Serve.
func (r *Reach) OnPartition(f func(since time.Time)) {
	r.began = f
}

// Dial connects to a server, and records whether that succeeded.
func (r *Reach) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	c, err := r.dial(ctx, to)
	cancelled := ctx.Err() == context.Canceled
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil:
		r.detector.Connected()
	case !cancelled:
		r.detector.NotConnected(to.String())
	}
	return c, err
}

// Silent reports whether this daemon is partitioned and its connections to servers hang.
func (r *Reach) Silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Silent()
}

// Confirmed reports whether this daemon is partitioned and a second check has confirmed it.
func (r *Reach) Confirmed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Confirmed()
}

// Serve checks the connections to servers when they are in doubt, until the context ends.
func (r *Reach) Serve(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		if r.checkDue(time.Now()) {
			r.check(ctx)
		}
	}
	return nil
}

// Partitioned reports whether this daemon is partitioned from the servers.
func (r *Reach) Partitioned() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Partitioned()
}

// InDoubt reports whether this daemon may be partitioned, given since when a request waits
// for its server. A daemon that lags can't tell, and does not load its peers.
func (r *Reach) InDoubt(waitingSince time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.detector.Answered(r.lastAnswer())
	now := time.Now()
	return r.detector.InDoubt(now, waitingSince) && !r.detector.Lagging(now)
}

// AwaitCheck waits while a check runs or until the context ends.
func (r *Reach) AwaitCheck(ctx context.Context) {
	r.mutex.Lock()
	checking := r.checking
	r.mutex.Unlock()
	if checking == nil {
		return
	}
	select {
	case <-checking:
	case <-ctx.Done():
	}
}

// cancelSilent cancels the requests that may be repeated and whose servers have sent
// nothing for partition.Silence. It is called with the mutex held.
func (r *Reach) cancelSilent(now time.Time) {
	for c := range r.calls {
		if c.repeatable && now.Sub(c.progressAt()) >= partition.Silence {
			c.cancel()
		}
	}
}

// recordAnswer records that a server has sent something.
func (r *Reach) recordAnswer() {
	r.answered.Store(int64(time.Since(r.startedAt)))
}

// lastAnswer returns when a server last sent something.
func (r *Reach) lastAnswer() time.Time {
	return r.startedAt.Add(time.Duration(r.answered.Load()))
}
