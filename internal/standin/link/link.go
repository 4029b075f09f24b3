// Package link connects callers and stand-ins: a listener that records every
// byte received, and a network within one process whose connections can be made
// to fail at any step.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Steps of a connection.
const (
	// StepDial is the making of the connection.
	StepDial Step = iota + 1
	// StepRead is a read that has got data.
	StepRead
	// StepWrite is a write before any of its data went.
	StepWrite
)

// Faults of a connection. The zero value is none.
const (
	// FaultBreak ends the connection.
	FaultBreak Fault = iota + 1
	// FaultDelay holds the step up for Action.Delay.
	FaultDelay
	// FaultDoubled gives the data of a read twice.
	FaultDoubled
	// FaultSilent leaves the connection open with nothing passing any more.
	FaultSilent
)

// ErrBroken is the error of a connection that a fault ended.
var ErrBroken = errors.New("link: broken")

// Action is what a step does. The zero value goes on as usual.
type Action struct {
	Fault Fault
	// Bytes of the data pass before FaultBreak and FaultSilent.
	Bytes int
	Delay time.Duration
}

// Event is a step that is about to be done.
type Event struct {
	To   netip.AddrPort
	Step Step
	// Index counts the earlier steps of this kind on the connection.
	Index int
	// Data is what is written or was read; it is only valid in the call.
	Data []byte
}

// Fault tells faults apart.
type Fault uint8

// Network connects callers and servers within one process. The zero value is
// ready. Its methods may be called from any goroutine.
type Network struct {
	// Decide, if set, is asked before each step. It is not changed once
	// connections are made.
	Decide func(e Event) Action

	mutex     sync.Mutex
	listeners map[netip.AddrPort]*Listener
}

// Step is a kind of step.
type Step uint8

// Dial connects to the listener at an address.
func (n *Network) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if err := n.begin(ctx, to); err != nil {
		return nil, err
	}
	n.mutex.Lock()
	l := n.listeners[to]
	n.mutex.Unlock()
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "link: %v", to)
	}
	client, server := net.Pipe()
	select {
	case l.queue <- server:
		return n.wrap(client, to), nil
	case <-l.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "link: %v", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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

func (n *Network) begin(ctx context.Context, to netip.AddrPort) error {
	if n.Decide == nil {
		return nil
	}
	switch a := n.Decide(Event{To: to, Step: StepDial}); a.Fault {
	case FaultBreak:
		return ErrBroken
	case FaultSilent:
		<-ctx.Done()
		return ctx.Err()
	case FaultDelay:
		return wait(ctx.Done(), a.Delay)
	}
	return nil
}

func (n *Network) wrap(c net.Conn, to netip.AddrPort) net.Conn {
	if n.Decide == nil {
		return c
	}
	return &conn{Conn: c, decide: n.Decide, to: to, closed: make(chan struct{})}
}

func wait(done <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-done:
		return net.ErrClosed
	}
}
