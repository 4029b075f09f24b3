package intake

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// bodyPatience is how long a body may wait for room in the budget, in which slow transfers
	// are shed and the garbage collector runs.
	bodyPatience = 400 * time.Millisecond
	// firstStep is the first size of the buffer of a request's body, in bytes. Bodies of live
	// requests fit.
	firstStep = 4 << 10
	// firstResponseStep is that of a response whose length is not known, and lastResponseStep
	// the last one before its limit: responses that held more and waited for the rest could
	// block each other.
	firstResponseStep = 8 << 10
	lastResponseStep  = 64 << 10
	// stepFactor is the factor by which the buffer of a request's body grows until its final
	// size is paid for: a client must send a part of that first. responseStepFactor is that of a
	// response.
	stepFactor         = 16
	responseStepFactor = 8
)

// Errors of bodies.
var (
	// ErrSlow is returned when a body arrives too slowly.
	ErrSlow = errors.New("intake: body arrives too slowly")
	// ErrTooLong is returned when a response exceeds its limit.
	ErrTooLong = errors.New("intake: response is too long")
)

// Body describes the body of a request.
type Body struct {
	// Limit is the maximum number of bytes.
	Limit int64
	// Cost is the number of bytes that are held for each byte of the body.
	Cost int64
	// Until is the time at which the caller no longer waits; zero if it is not known.
	Until time.Time
}

// ReadBody reads the body of a request into one buffer, as the budget allows. Its errors are
// ErrBusy, ErrSlow, *http.MaxBytesError and those of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, b Body) ([]byte, error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if r.ContentLength > b.Limit {
		c.refuse()
		// The server then reads no more than a part of the body, and sends no 100 Continue.
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: b.Limit}
	}
	c.limitBody(b.Until)
	out, err := read(r.Context(), http.MaxBytesReader(w, r.Body, b.Limit), buffer{
		length: r.ContentLength, limit: b.Limit, first: firstStep, factor: stepFactor, cost: max(1, b.Cost), patience: bodyPatience,
	})
	if err == nil {
		c.bodyRead()
		return out, nil
	}
	c.refuse()
	switch {
	case c.wasShed():
		return nil, ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.countSlow()
		return nil, errors.Wrap(ErrSlow, err.Error())
	}
	return nil, err
}

// ReadResponse reads the body of a server's response to the request of a context. It waits
// for room in the budget until the context ends. The length is -1 if it is not known. Its
// errors are ErrTooLong, if the body exceeds the limit, and those of the connection.
func ReadResponse(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes", length)
	}
	f := buffer{
		length: length, limit: limit + 1, first: firstResponseStep, factor: responseStepFactor, last: lastResponseStep,
		cost: 1, patience: math.MaxInt64, response: true,
	}
	if length > 0 {
		// Responses that each held a part and waited for the rest could block each other.
		f.first = length
	}
	b, err := read(ctx, io.LimitReader(body, limit+1), f)
	if err == nil && int64(len(b)) > limit {
		err = errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
	}
	return b, err
}

// buffer describes a buffer that grows in steps.
type buffer struct {
	// length is that of the body, -1 if it is not known, and limit its maximum.
	length, limit int64
	// first is the size of the first step, and factor that by which it grows.
	first, factor int64
	// last is the size of the last step before the final one; 0 if there is no such limit.
	last int64
	// cost is the charge for each byte, and patience how long a step may wait for it.
	cost     int64
	patience time.Duration
	// response is whether the body is that of a response.
	response bool
}

// final returns the size of the final step.
func (f buffer) final() int64 {
	if f.length > 0 {
		return f.length
	}
	return f.limit
}

// next returns the size of the step after one of a size.
func (f buffer) next(size int64) int64 {
	if f.last > 0 && size >= f.last {
		return f.final()
	}
	return min(f.final(), size*f.factor)
}

// read reads up to the end into a buffer, each of whose steps is paid for first. What was paid for a
// body that is not complete, or reaches the limit, is given back.
func read(ctx context.Context, body io.Reader, f buffer) ([]byte, error) {
	if f.length == 0 {
		return nil, nil
	}
	a, _ := ctx.Value(accountKey{}).(*account)
	paid := charge{account: a, large: f.length > 0 && f.final()*f.cost > smallCharge, response: f.response, unknown: f.length < 0}
	b, err := readSteps(ctx, body, f, &paid)
	if err != nil || f.response && int64(len(b)) >= f.limit {
		paid.release()
	}
	return b, err
}

// readSteps reads up to the end into a buffer, whose steps a charge pays for.
func readSteps(ctx context.Context, body io.Reader, f buffer, paid *charge) ([]byte, error) {
	var b []byte
	for size := min(f.final(), f.first); ; size = f.next(size) {
		if err := paid.grow(ctx, size*f.cost, f.patience); err != nil {
			return nil, err
		}
		grown := make([]byte, len(b), size)
		copy(grown, b)
		b = grown
		for int64(len(b)) < size {
			n, err := body.Read(b[len(b):size])
			b = b[:len(b)+n]
			// net/http checks the length.
			if errors.Is(err, io.EOF) {
				return b, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if size == f.final() {
			return readEnd(body, b)
		}
	}
}

// readEnd returns the body if it has ended.
func readEnd(body io.Reader, b []byte) ([]byte, error) {
	var one [1]byte
	for {
		n, err := body.Read(one[:])
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return b, nil
		case err != nil:
			return nil, err
		case n > 0:
			return append(b, one[0]), nil
		}
	}
}

// limitBody sets the time by which the body must be complete.
func (c *conn) limitBody(until time.Time) {
	if c == nil || until.IsZero() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bodyUntil = until
}

// bodyRead records that the body is complete.
func (c *conn) bodyRead() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.receive(false, time.Now())
}

// countSlow counts a body that arrives too slowly.
func (c *conn) countSlow() {
	if c != nil {
		c.guard.count(causeSlow, c)
	}
}

// wasShed reports whether the reading of the body was ended to make room.
func (c *conn) wasShed() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bodyShed
}
