// Package link connects callers and stand-ins. It has a listener that records the
// received bytes, and an in-process network whose connections can be made to fail
// at any step.
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
	// StepDial is the establishment of the connection.
	StepDial Step = iota + 1
	// StepRead is a read that has received data, before it is returned.
	StepRead
	// StepWrite is a write, before any of its data is sent.
	StepWrite
)

// Faults of a connection. The zero value is no fault.
const (
	// FaultBreak closes the connection; its steps then return ErrBroken.
	FaultBreak Fault = iota + 1
	// FaultDelay delays the step by Action.Delay.
	FaultDelay
	// FaultDuplicate returns the data of a read twice.
	FaultDuplicate
	// FaultHang leaves the connection open but passes no further data.
	FaultHang
)

// ErrBroken is returned by a connection that FaultBreak has closed.
var ErrBroken = errors.New("link: broken")

// Action is the fault to apply to a step. The zero value lets the step proceed.
type Action struct {
	Fault Fault
	// Bytes is how much of the data passes before FaultBreak or FaultHang.
	Bytes int
	Delay time.Duration
}

// Event describes a step for which Network.Decide chooses the action.
type Event struct {
	To   netip.AddrPort
	Step Step
	// Index counts the earlier steps of this kind on the connection.
	Index int
	// Data is the data to be written or the data read. It is valid only during
	// the call.
	Data []byte
}

// Fault is a kind of fault.
type Fault uint8

// Network connects callers and servers within one process. The zero value is
// ready to use. Its methods may be called from any goroutine.
type Network struct {
	// Decide, if set, returns the action for each step. It must not change after
	// the first connection.
	Decide func(e Event) Action

	mutex     sync.Mutex
	listeners map[netip.AddrPort]*Listener
}

// Step is a kind of step.
type Step uint8

// Dial connects to the listener at an address. It returns ECONNREFUSED if there
// is none.
func (n *Network) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if err := n.applyDialFault(ctx, to); err != nil {
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

// Listen opens a listener at an address and replaces an earlier one.
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

func (n *Network) applyDialFault(ctx context.Context, to netip.AddrPort) error {
	if n.Decide == nil {
		return nil
	}
	switch a := n.Decide(Event{To: to, Step: StepDial}); a.Fault {
	case FaultBreak:
		return ErrBroken
	case FaultHang:
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
