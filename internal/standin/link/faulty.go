package link

import (
	"net"
	"os"
	"sync"
	"time"
)

// faulty is a connection with a Fault.
type faulty struct {
	net.Conn
	fault Fault

	mutex sync.Mutex
	// failed is whether the fault has come.
	failed bool
	// read counts the bytes read.
	read int
	// deadline is that of the next read or write, zero for none.
	deadline time.Time
	once     sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

func newFaulty(c net.Conn, f Fault) net.Conn {
	if f == (Fault{}) {
		return c
	}
	return &faulty{Conn: c, fault: f, closed: make(chan struct{})}
}

// Close implements net.Conn.
func (f *faulty) Close() error {
	f.once.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

// Read implements net.Conn.
func (f *faulty) Read(b []byte) (int, error) {
	f.mutex.Lock()
	failed := f.failed
	if !failed && f.fault.Step == StepReadAfter {
		left := f.fault.Bytes - f.read
		if left <= 0 {
			f.failed, failed = true, true
		}
		b = b[:min(len(b), max(left, 0))]
	}
	f.mutex.Unlock()
	if failed {
		return 0, f.fail()
	}
	n, err := f.Conn.Read(b)
	f.mutex.Lock()
	f.read += n
	f.mutex.Unlock()
	return n, err
}

// SetReadDeadline implements net.Conn.
func (f *faulty) SetReadDeadline(t time.Time) error {
	f.keep(t)
	return f.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (f *faulty) SetWriteDeadline(t time.Time) error {
	f.keep(t)
	return f.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (f *faulty) Write(b []byte) (int, error) {
	f.mutex.Lock()
	failed, step := f.failed, f.fault.Step
	f.failed = failed || step == StepWriteBefore || step == StepWriteDuring || step == StepWriteAfter
	f.mutex.Unlock()
	if failed || step == StepWriteBefore {
		return 0, f.fail()
	}
	switch step {
	case StepWriteDuring:
		n, err := f.Conn.Write(b[:len(b)/2])
		if err != nil {
			return n, err
		}
		return n, f.fail()
	case StepWriteAfter:
		n, err := f.Conn.Write(b)
		if !f.fault.Silent {
			_ = f.Close()
		}
		return n, err
	}
	return f.Conn.Write(b)
}

func (f *faulty) fail() error {
	if !f.fault.Silent {
		_ = f.Close()
		return ErrBroken
	}
	f.mutex.Lock()
	d := f.deadline
	f.mutex.Unlock()
	if d.IsZero() {
		<-f.closed
		return net.ErrClosed
	}
	t := time.NewTimer(time.Until(d))
	defer t.Stop()
	select {
	case <-t.C:
		return os.ErrDeadlineExceeded
	case <-f.closed:
		return net.ErrClosed
	}
}

func (f *faulty) keep(t time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deadline = t
}
