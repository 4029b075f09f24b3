// Package proxy provides a TCP proxy on loopback that can delay, hold back and
// reset the traffic through it.
package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Modes of a proxy.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// HoldRequests holds back data to the server.
	HoldRequests
	// HoldAnswers holds back data from the server.
	HoldAnswers
	// HoldBoth holds back data in both directions; connections stay open.
	HoldBoth
	// Refuse resets open and new connections.
	Refuse
	// RefuseNew resets new connections; open ones live on.
	RefuseNew
	// HoldOpen holds back data of open connections in both directions, and resets new ones.
	HoldOpen
)

const (
	// pollInterval is how often the mode is checked while data is held back.
	pollInterval = 5 * time.Millisecond
	// bufferSize is the maximum number of bytes forwarded at a time.
	bufferSize = 16 << 10
)

// Mode is how a proxy treats connections. The zero value is Pass.
type Mode uint8

// Proxy forwards connections to one server. Use New. Its methods may be called
// from any goroutine.
type Proxy struct {
	listener net.Listener
	to       netip.AddrPort

	mutex sync.Mutex
	mode  Mode
	delay time.Duration
	// sources holds the modes for connections from some addresses, in place of mode.
	sources map[netip.Addr]Mode
	// open maps the caller's end of each open connection to the server's end.
	open map[net.Conn]net.Conn
}

// New returns a proxy for the server at an address. The proxy listens on loopback
// until Close is called.
func New(to netip.AddrPort) (*Proxy, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen")
	}
	p := &Proxy{listener: l, to: to, open: make(map[net.Conn]net.Conn)}
	go p.serve()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	p.Set(Refuse, 0)
	return errors.Wrap(p.listener.Close(), "proxy: close")
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for a, b := range p.open {
		reset(a)
		reset(b)
	}
	clear(p.open)
}

// Set sets the mode and delays forwarded data by d in each direction. Mode Refuse
// also resets the open connections.
func (p *Proxy) Set(m Mode, d time.Duration) {
	p.mutex.Lock()
	p.mode, p.delay = m, d
	p.mutex.Unlock()
	if m == Refuse {
		p.Reset()
	}
}

// SetFrom sets the mode for connections from an address until it is set to Pass.
func (p *Proxy) SetFrom(source netip.Addr, m Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sources == nil {
		p.sources = make(map[netip.Addr]Mode)
	}
	p.sources[source] = m
	if m == Pass {
		delete(p.sources, source)
	}
	if m != Refuse {
		return
	}
	for a, b := range p.open {
		if sourceOf(a) == source {
			reset(a)
			reset(b)
			delete(p.open, a)
		}
	}
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(c net.Conn) {
	source := sourceOf(c)
	switch p.current(source).mode {
	case Refuse, RefuseNew, HoldOpen:
		reset(c)
		return
	}
	var dialer net.Dialer
	s, err := dialer.DialContext(context.Background(), "tcp", p.to.String())
	if err != nil {
		reset(c)
		return
	}
	p.mutex.Lock()
	p.open[c] = s
	p.mutex.Unlock()
	go p.pass(s, c, source, HoldRequests)
	p.pass(c, s, source, HoldAnswers)
	p.mutex.Lock()
	delete(p.open, c)
	p.mutex.Unlock()
}

// state is the mode and delay of a proxy.
type state struct {
	mode  Mode
	delay time.Duration
}

// current returns the state for connections from an address.
func (p *Proxy) current(source netip.Addr) state {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m, ok := p.sources[source]; ok {
		return state{m, p.delay}
	}
	return state{p.mode, p.delay}
}

// sourceOf returns the address of the end that opened a connection.
func sourceOf(c net.Conn) netip.Addr {
	return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// pass copies data in one direction of a connection from an address until either end
// closes. holdMode is the mode that holds back this direction.
func (p *Proxy) pass(to, from net.Conn, source netip.Addr, holdMode Mode) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if n > 0 {
			p.hold(source, holdMode)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The closing of the connection is held back, too.
			p.hold(source, holdMode)
			return
		}
	}
}

// hold waits for the delay, and then while this direction is held back.
func (p *Proxy) hold(source netip.Addr, holdMode Mode) {
	s := p.current(source)
	time.Sleep(s.delay)
	for s.mode == holdMode || s.mode == HoldBoth || s.mode == HoldOpen {
		time.Sleep(pollInterval)
		s = p.current(source)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// On an error the connection is closed normally, which has no other effect.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
