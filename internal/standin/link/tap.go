package link

import (
	"bytes"
	"net"
	"sync"
)

// Tap records the bytes that servers receive. The zero value is ready to use. Its
// methods may be called from any goroutine.
type Tap struct {
	// Limit bounds the recorded bytes; later bytes are not recorded. 0 is no
	// limit.
	Limit int

	mutex sync.Mutex
	data  bytes.Buffer
}

// Bytes returns a copy of the recorded bytes.
func (t *Tap) Bytes() []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return bytes.Clone(t.data.Bytes())
}

// Listener wraps l to record the bytes read from its connections.
func (t *Tap) Listener(l net.Listener) net.Listener {
	return tapListener{Listener: l, tap: t}
}

func (t *Tap) record(b []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.Limit > 0 {
		b = b[:min(len(b), max(t.Limit-t.data.Len(), 0))]
	}
	t.data.Write(b)
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
	c.tap.record(b[:n])
	return n, err
}
