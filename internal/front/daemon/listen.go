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
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout ends connections of callers that are not used.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a request's head, in bytes.
	maxHeader = 64 << 10
	// peerDialTimeout bounds the making of a connection to another daemon.
	peerDialTimeout = 400 * time.Millisecond
)

// servePeers answers other daemons until the context ends.
func (d *daemon) servePeers(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", d.settings.Listen.Peers.String())
	if err != nil {
		return errors.Wrap(err, "daemon: listen for peers")
	}
	anyone := func(net.Conn, netip.AddrPort) error { return nil }
	return wire.NewServer(&d.mux, anyone, &d.counters).Serve(ctx, l)
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
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(log),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener failed", zap.Stringer("Address", at), zap.Error(err))
		}
	}()
	return s, nil
}
