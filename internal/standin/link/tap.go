package link

import (
	"bytes"
	"net"
	"sync"
)

// Tap keeps the bytes that servers receive. The zero value is ready. Its
// methods may be called from any goroutine.
type Tap struct {
	// Limit bounds the bytes kept, the earliest ones; 0 is no bound.
	Limit int

	mutex sync.Mutex
	kept  bytes.Buffer
}

// Bytes returns a copy of what was received.
func (t *Tap) Bytes() []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return bytes.Clone(t.kept.Bytes())
}

// Listener returns l with the bytes read from its connections kept.
func (t *Tap) Listener(l net.Listener) net.Listener {
	return tapListener{Listener: l, tap: t}
}

func (t *Tap) keep(b []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.Limit > 0 {
		b = b[:min(len(b), max(t.Limit-t.kept.Len(), 0))]
	}
	t.kept.Write(b)
}

type tapListener struct {
	net.Listener
	tap *Tap
}

// Accept implements net.Listener.
func (l tapListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tapConn{Conn: c, tap: l.tap}, nil
}

type tapConn struct {
	net.Conn
	tap *Tap
}

// Read implements net.Conn.
func (c tapConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.tap.keep(b[:n])
	return n, err
}
