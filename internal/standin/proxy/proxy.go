// Package proxy holds a TCP proxy on loopback that delays, holds back and resets
// what passes through it.
package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Modes of a proxy. The zero value passes everything.
const (
	// Pass passes everything.
	Pass Mode = iota
	// HoldRequests holds back what goes to the server.
	HoldRequests
	// HoldAnswers holds back what comes from the server.
	HoldAnswers
	// HoldBoth holds back everything; connections stay open.
	HoldBoth
	// Refuse resets new connections and those that are open.
	Refuse
)

const (
	// lookInterval is the time between two looks at whether held bytes may pass.
	lookInterval = 5 * time.Millisecond
	// bufferSize is the most that is passed on at a time, in bytes.
	bufferSize = 16 << 10
)

// Mode is what a proxy does with connections.
type Mode uint8

// Proxy stands before one server. Use New. Its methods may be called from any
// goroutine.
type Proxy struct {
	listener net.Listener
	to       netip.AddrPort

	mutex sync.Mutex
	mode  Mode
	delay time.Duration
	// open holds both ends of each connection.
	open map[net.Conn]net.Conn
}

// New returns a proxy before the server at an address, which listens on
// loopback until Close.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close ends the proxy and its connections.
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

// Set has the proxy do what a mode says, and delay what passes by d each way.
func (p *Proxy) Set(m Mode, d time.Duration) {
	p.mutex.Lock()
	p.mode, p.delay = m, d
	p.mutex.Unlock()
	if m == Refuse {
		p.Reset()
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
	if p.current().mode == Refuse {
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
	go p.pass(s, c, HoldRequests)
	p.pass(c, s, HoldAnswers)
	p.mutex.Lock()
	delete(p.open, c)
	p.mutex.Unlock()
}

// state is what a proxy does at one instant.
type state struct {
	mode  Mode
	delay time.Duration
}

func (p *Proxy) current() state {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return state{p.mode, p.delay}
}

// pass copies one way until either end closes; held is the mode that holds it
// back.
func (p *Proxy) pass(to, from net.Conn, held Mode) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if n > 0 {
			p.hold(held)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The end of a held connection is held, too.
			p.hold(held)
			return
		}
	}
}

// hold waits for the delay, and as long as the mode holds this way back.
func (p *Proxy) hold(held Mode) {
	s := p.current()
	time.Sleep(s.delay)
	for s.mode == held || s.mode == HoldBoth {
		time.Sleep(lookInterval)
		s = p.current()
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without it, the end is an orderly one; nothing else depends on it.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
