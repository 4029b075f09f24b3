// Package wire implements remote calls between daemons over TCP, in frames with
// msgpack bodies.
package wire

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of a call.
var (
	// ErrLost reports that no answer arrived. The peer may have handled the
	// call.
	ErrLost = errors.New("wire: answer lost")
	// ErrNotSent reports that the peer has not received the call.
	ErrNotSent = errors.New("wire: not sent")
	// ErrRemote reports that the peer's handler failed. Its text comes from the
	// peer.
	ErrRemote = errors.New("wire: peer failed")
)

// Kinds of call. The numbers are part of the protocol.
const (
	KindPing         Kind = 1
	KindAsk          Kind = 2
	KindRelease      Kind = 3
	KindRegister     Kind = 4
	KindSummary      Kind = 5
	KindSuspect      Kind = 6
	KindEvents       Kind = 7
	KindDemand       Kind = 8
	KindView         Kind = 9
	KindStatus       Kind = 10
	KindStore        Kind = 11
	KindHandOver     Kind = 12
	KindCachedState  Kind = 13
	KindLoads        Kind = 14
	KindStreamOrigin Kind = 15
	KindRequest      Kind = 16
)

// Caller calls other daemons. Its method may be called from any goroutine.
type Caller interface {
	// Call sends request to the daemon at the address to and decodes its answer
	// into response, a pointer. When ctx ends, the context of the peer's
	// handler is cancelled. Its errors are ErrNotSent, ErrLost and ErrRemote.
	Call(ctx context.Context, to netip.AddrPort, k Kind, request, response any) error
}

// Handler answers one call from the daemon at the address from. The body is
// msgpack. A Handler may block: each call has its own goroutine, and ctx ends
// when the caller's context ends.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)

// Kind is the kind of a call.
type Kind uint8

// Mux maps kinds to handlers. The zero value is ready to use. A Mux must not be
// changed once calls arrive.
type Mux struct {
	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler
}

// Handle sets the handler of a kind.
func (m *Mux) Handle(k Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = make(map[Kind]Handler)
	}
	m.handlers[k] = h
}

// HandleStream sets the handler of a kind whose answers arrive in parts.
func (m *Mux) HandleStream(k Kind, h StreamHandler) {
	if m.streamHandlers == nil {
		m.streamHandlers = make(map[Kind]StreamHandler)
	}
	m.streamHandlers[k] = h
}

// Handler returns the handler of a kind, or nil if there is none.
func (m *Mux) Handler(k Kind) Handler {
	return m.handlers[k]
}
