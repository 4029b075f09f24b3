// Package peer sends live requests to the backend servers through other daemons while
// this daemon does not reach the servers itself, and runs such requests of other daemons.
//
// The other daemon chooses the server, in its own view and within its own limits, and
// runs the request at most once; whether to try again is decided here. It never passes a request
// on to a third daemon.
package peer

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Kinds of refusals in messages. The numbers are part of the protocol.
const (
	kindNotRun refusalKind = iota + 1
	kindMayHaveRun
	kindGaveUp
)

// Request is a live request that is sent through a peer.
type Request struct {
	backend.Request

	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that this request continues; empty if it continues none.
	Resumes string
	// Config is the version of the configuration with which the sender handles the request.
	Config int64
	// Software is the version of the servers' software that began the stream, if
	// HasSoftware is set; otherwise any version may run the request.
	Software    string
	HasSoftware bool
	// Evacuated holds the failure domains that are evacuated according to the sender: the
	// peer, which may have older rows, must not send the request to their servers.
	Evacuated []string
	// MayTake reports whether a daemon in a failure domain may get the request; nil if all may.
	MayTake func(domain string) bool `msgpack:"-"`
}

// Response is a server's response that arrives through a peer.
type Response struct {
	*backend.Response

	// Software is the version of the server's software.
	Software string
	// Peer is the ID of the peer.
	Peer string
}

// Head is the head of a response.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	// Software is the version of the server's software.
	Software string
	// Leaving holds the incarnations of the servers that have announced their shutdown to
	// the peer: the caller's daemon must no longer use them either.
	Leaving []string
}

// call is the message that asks a peer to run a request.
type call struct {
	Request Request
	// Until is the request's deadline by the store's clock, which all daemons share, the
	// latest that it may be as the sender knows that clock. Earlier builds set it too early
	// by up to the duration of a call of the store.
	Until time.Time
	// Left is the time that was left until the deadline when the message was sent; not
	// positive in messages of earlier builds.
	Left time.Duration
	// Leaving holds the incarnations of the servers that have announced their shutdown to
	// the callers of this daemon: the peer must not send them the request.
	Leaving []string
}

// part is a part of the answer: the head of the response, then its body in pieces, then
// the end. The end may come without a head.
type part struct {
	Head *Head
	Data []byte
	End  *end
}

// end is the end of an answer. The response is complete if Refusal is nil.
type end struct {
	Refusal *refused
}

// refused is a refusal.Error in a message.
type refused struct {
	Kind   refusalKind
	Reason refusal.Reason
	// RetryAfter is the time until the caller may retry, 0 if a retry does not help: a
	// point in time has no meaning on another VM.
	RetryAfter time.Duration
}

type refusalKind uint8

// newRefused returns the message for a refusal.
func newRefused(e *refusal.Error) *refused {
	r := &refused{Reason: e.Reason}
	switch {
	case errors.Is(e, refusal.ErrMayHaveRun):
		r.Kind = kindMayHaveRun
	case errors.Is(e, refusal.ErrGaveUp):
		r.Kind = kindGaveUp
	default:
		r.Kind = kindNotRun
	}
	if !e.RetryAt.IsZero() {
		r.RetryAfter = max(time.Millisecond, time.Until(e.RetryAt))
	}
	return r
}

// err returns the refusal. It wraps backend.ErrNotSent if the request has not run, and
// otherwise backend.ErrIncomplete.
func (r *refused) err() *refusal.Error {
	var retryAt time.Time
	if r.RetryAfter > 0 {
		retryAt = time.Now().Add(r.RetryAfter)
	}
	switch r.Kind {
	case kindNotRun:
		return refusal.NotRun(r.Reason, retryAt, errors.Wrap(backend.ErrNotSent, "refused by the peer"))
	case kindGaveUp:
		return refusal.GaveUp(r.Reason, retryAt, errors.Wrap(backend.ErrNotSent, "refused by the peer"))
	}
	return refusal.MayHaveRun(r.Reason, retryAt, errors.Wrap(backend.ErrIncomplete, "failed at the peer"))
}
