package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = time.Minute

// listenFlag adds the --listen flag.
func listenFlag(c *kingpin.CmdClause) *string {
	return c.Flag("listen", "Address to listen on, IP:port.").Required().String()
}

// listen opens a TCP listener at an address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "listen")
}

// serve handles requests at an address until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); ctx.Err() == nil {
		return errors.Wrap(err, "serve")
	}
	return nil
}
