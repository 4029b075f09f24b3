// Package wire carries typed calls between daemons: TCP frames with msgpack
// bodies.
package wire

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of a call.
var (
	// ErrLost says that no answer came: the peer may have handled the call.
	ErrLost = errors.New("wire: answer lost")
	// ErrNotSent says that the peer has not received the call.
	ErrNotSent = errors.New("wire: not sent")
	// ErrRemote says that the peer's handler failed; the text is the peer's.
	ErrRemote = errors.New("wire: peer failed")
)

// Kinds of call. The numbers are part of the protocol.
const (
	KindPing     Kind = 1
	KindAsk      Kind = 2
	KindRelease  Kind = 3
	KindRegister Kind = 4
	KindSummary  Kind = 5
	KindSuspect  Kind = 6
	KindEvents   Kind = 7
	KindDemand   Kind = 8
	KindView     Kind = 9
	KindStatus   Kind = 10
	KindStore    Kind = 11
	KindHandOver Kind = 12
	KindKnown    Kind = 13
	KindLoads    Kind = 14
)

// Caller calls peers. Its method may be called from any goroutine.
type Caller interface {
	// Call sends request to the daemon at to and decodes its answer into
	// response, a pointer. Ending the context ends the handler's context at
	// the peer. Its errors are ErrNotSent, ErrLost and ErrRemote.
	Call(ctx context.Context, to netip.AddrPort, k Kind, request, response any) error
}

// Handler answers one call from the daemon at from; body is msgpack. It may
// block: each call has its own goroutine, and ctx ends with the call's.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) (any, error)

// Kind tells calls apart.
type Kind uint8

// Mux maps kinds to handlers. The zero value is ready; it must not be changed
// once calls arrive.
type Mux struct {
	handlers map[Kind]Handler
}

// Handle sets the handler of a kind.
func (m *Mux) Handle(k Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = make(map[Kind]Handler)
	}
	m.handlers[k] = h
}

// Handler returns the handler of a kind, nil when there is none.
func (m *Mux) Handler(k Kind) Handler {
	return m.handlers[k]
}
