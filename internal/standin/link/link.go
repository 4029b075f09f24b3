// Package link connects callers and stand-ins: a listener that records every
// byte received, and a network within one process whose connections can be made
// to fail.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Steps at which a connection can fail.
const (
	// StepDial fails the making of the connection.
	StepDial Step = iota + 1
	// StepWriteBefore fails before the first byte written.
	StepWriteBefore
	// StepWriteDuring fails after half of the first write.
	StepWriteDuring
	// StepWriteAfter fails after the first write.
	StepWriteAfter
	// StepReadAfter fails after Fault.Bytes bytes read.
	StepReadAfter
)

// ErrBroken is the error of a connection that a Fault ended.
var ErrBroken = errors.New("link: broken")

// Fault is what happens to one connection. The zero value is nothing.
type Fault struct {
	Step Step
	// Bytes counts the bytes read before StepReadAfter.
	Bytes int
	// Silent leaves the connection open with nothing passing any more; else it
	// breaks.
	Silent bool
}

// Network connects callers and servers within one process. The zero value is
// ready. Its methods may be called from any goroutine.
type Network struct {
	// Fault, if set, is asked about each new connection. It is not changed
	// once connections are made.
	Fault func(to netip.AddrPort) Fault

	mutex     sync.Mutex
	listeners map[netip.AddrPort]*Listener
	dials     atomic.Int64
}

// Step is a moment in the life of a connection.
type Step uint8

// Dial connects to the listener at an address.
func (n *Network) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.dials.Add(1)
	var f Fault
	if n.Fault != nil {
		f = n.Fault(to)
	}
	if f.Step == StepDial {
		if f.Silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, ErrBroken
	}
	n.mutex.Lock()
	l := n.listeners[to]
	n.mutex.Unlock()
	if l == nil {
		return nil, errors.Wrapf(ErrBroken, "nothing listens on %v", to)
	}
	client, server := net.Pipe()
	select {
	case l.queue <- server:
		return newFaulty(client, f), nil
	case <-l.closed:
		return nil, errors.Wrapf(ErrBroken, "nothing listens on %v", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns how many connections were asked for.
func (n *Network) Dials() int64 {
	return n.dials.Load()
}

// Listen opens a listener at an address, in place of an earlier one.
func (n *Network) Listen(at netip.AddrPort) *Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*Listener)
	}
	l := &Listener{address: at, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l
}
