package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// headerTimeout limits the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes limits a request's header.
	maxHeaderBytes = 64 << 10
	// peerDialTimeout limits the time to connect to another daemon.
	peerDialTimeout = 400 * time.Millisecond
)

// servePeers serves requests of other daemons until the context ends.
func (d *daemon) servePeers(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", d.settings.Listen.Peers.String())
	if err != nil {
		return errors.Wrap(err, "daemon: listen for peers")
	}
	acceptAll := func(net.Conn, netip.AddrPort) error { return nil }
	return wire.NewServer(&d.mux, acceptAll, &d.counters).Serve(ctx, l)
}

// dialPeer connects to another daemon.
func dialPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n := net.Dialer{Timeout: peerDialTimeout}
	return n.DialContext(ctx, "tcp", to.String())
}

// listen serves a handler at an address.
func listen(ctx context.Context, at netip.AddrPort, h http.Handler, log *zap.Logger) (*http.Server, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen")
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener failed", zap.Stringer("Address", at), zap.Error(err))
		}
	}()
	return s, nil
}
