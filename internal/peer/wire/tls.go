package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"
)

// DialTLS returns a Dialer that authenticates both ends.
func DialTLS(i *mtls.Identity) Dialer {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		d := tls.Dialer{Config: i.Client(to.Addr())}
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// ListenTLS wraps a listener so that only daemons of the fleet can call.
func ListenTLS(l net.Listener, i *mtls.Identity) net.Listener {
	return tls.NewListener(l, i.Server())
}

// VerifyTLS is the Verifier of connections that ListenTLS accepted: the claimed
// address must be one that the peer's certificate names.
func VerifyTLS(c net.Conn, claimed netip.AddrPort) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return errors.New("wire: not a TLS connection")
	}
	return mtls.Claims(t.ConnectionState(), claimed.Addr())
}
