package link

import (
	"net"
	"net/netip"
	"sync"
)

// Listener accepts the connections of a Network.
type Listener struct {
	address netip.AddrPort
	queue   chan net.Conn
	once    sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
