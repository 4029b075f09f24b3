package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"
)

// DialTLS returns a Dialer that connects with mutual TLS.
func DialTLS(i *mtls.Identity) Dialer {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		d := tls.Dialer{Config: i.ClientConfig(to.Addr())}
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// ListenTLS wraps a listener so that it accepts only daemons of the fleet.
func ListenTLS(l net.Listener, i *mtls.Identity) net.Listener {
	return tls.NewListener(l, i.ServerConfig())
}

// VerifyTLS is the Verifier of connections that ListenTLS accepted. The peer's
// certificate must contain the claimed address.
func VerifyTLS(c net.Conn, claimed netip.AddrPort) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return errors.New("wire: not a TLS connection")
	}
	return mtls.VerifyAddress(t.ConnectionState(), claimed.Addr())
}
