package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lacewingtally/lacewingtally/internal/front/intake"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// peerDialTimeout limits the time to connect to another daemon.
	peerDialTimeout = 400 * time.Millisecond
	// reservedDescriptors are kept for files and the like, and callerDescriptors is the fraction
	// of the others that callers' connections may use: the rest is for servers, the store and
	// other daemons.
	reservedDescriptors = 200
	callerDescriptors   = 0.4
	// connectionMemory is the fraction of the daemon's memory for callers' connections, and
	// connectionBytes is what one costs with its buffers and a header.
	connectionMemory = 0.25
	connectionBytes  = 48 << 10
	// callerBufferBytes and peerBufferBytes are the sizes of the kernel's buffers of a
	// connection, in bytes; the kernel doubles them. What it has received and nobody has read
	// counts as the daemon's memory. Peers may be far away and send larger messages.
	callerBufferBytes = 32 << 10
	peerBufferBytes   = 128 << 10
	// peerMemory is the fraction of the daemon's memory for connections of other daemons, each
	// of which has one for calls, and peerConnectionBytes is what one costs with its queue.
	peerMemory          = 0.25
	peerConnectionBytes = 96 << 10
	// checkConnections is the maximum number of connections for readiness checks, and of those
	// for metrics.
	checkConnections = 128
	// checkHeaderBytes and checkHeaderTimeout are the limits of the header of a readiness check
	// or a request for metrics.
	checkHeaderBytes   = 8 << 10
	checkHeaderTimeout = 2 * time.Second
)

// Names of listeners in metrics and log lines.
const (
	listenerCallers = "Callers"
	listenerMetrics = "Metrics"
	listenerPeers   = "Peers"
	listenerReady   = "Ready"
)

// servePeers serves requests of other daemons until the context ends.
func (d *daemon) servePeers(ctx context.Context) error {
	l, err := intake.Listen(ctx, d.settings.Listen.Peers, peerBufferBytes)
	if err != nil {
		return errors.Wrap(err, "daemon: listen for peers")
	}
	acceptAll := func(net.Conn, netip.AddrPort) error { return nil }
	limits := wire.Limits{
		Connections: int(peerMemory*float64(d.settings.MemoryMB*megabyte)) / peerConnectionBytes, Reserve: d.budget.Reserve,
		Refused: func() { d.dependencies.Metrics.ClientLimited(listenerPeers, string(intake.CauseFull)) },
	}
	return wire.NewServer(&d.mux, acceptAll, &d.counters, wire.WithLimits(limits)).Serve(ctx, l)
}

// dialPeer connects to another daemon.
func dialPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n := net.Dialer{Timeout: peerDialTimeout}
	return n.DialContext(ctx, "tcp", to.String())
}

// listen serves a handler at an address within the limits of a guard.
func (d *daemon) listen(ctx context.Context, at netip.AddrPort, h http.Handler, g *intake.Guard) (*http.Server, error) {
	l, err := intake.Listen(ctx, at, callerBufferBytes)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen")
	}
	s := g.Server(h)
	go func() {
		if err := s.Serve(g.Wrap(l)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener failed", zap.Stringer("Address", at), zap.Error(err))
		}
	}()
	return s, nil
}

// newCallersGuard returns the guard of callers' connections.
func (d *daemon) newCallersGuard() *intake.Guard {
	return intake.New(intake.Options{
		Name: listenerCallers, Budget: d.budget, Connections: maxConnections(d.settings.MemoryMB, d.settings.MaxDescriptors),
		Limits: func() intake.Limits {
			c := d.fleet.Config()
			if c == nil {
				return intake.Limits{}
			}
			return intake.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTime, IdleTimeout: c.Limits.IdleTime}
		},
		Count: d.countLimited(listenerCallers), Log: d.log,
	})
}

// newCheckGuard returns the guard of a listener for readiness checks or metrics, whose
// requests have no bodies.
func (d *daemon) newCheckGuard(name string) *intake.Guard {
	return intake.New(intake.Options{
		Name: name, Connections: checkConnections, Checks: true,
		Limits: func() intake.Limits {
			return intake.Limits{HeaderBytes: checkHeaderBytes, HeaderTimeout: checkHeaderTimeout}
		},
		Count: d.countLimited(name), Log: d.log,
	})
}

func (d *daemon) countLimited(listener string) func(intake.Cause) {
	return func(c intake.Cause) { d.dependencies.Metrics.ClientLimited(listener, string(c)) }
}

// maxConnections returns the maximum number of callers' connections of a daemon with so many
// megabytes of memory, 0 if that is not limited, and descriptors, 0 for those of the process.
func maxConnections(memoryMB int64, descriptors int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors <= 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	n := max(1, int(callerDescriptors*float64(descriptors-reservedDescriptors)))
	if memoryMB > 0 {
		n = min(n, int(connectionMemory*float64(memoryMB*megabyte))/connectionBytes)
	}
	return n
}
