// Package fake gives in-process services of the platform their faults.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Faults of a call. The zero value is none.
const (
	// AnswerLost carries the call out and loses the answer.
	AnswerLost Fault = "AnswerLost"
	// Doubled carries the call out twice and answers with the second result.
	Doubled Fault = "Doubled"
	// RequestLost carries nothing out, and the caller learns no outcome.
	RequestLost Fault = "RequestLost"
	// Silent carries nothing out and hangs until the context ends.
	Silent Fault = "Silent"
	// Slow answers after slowDelay.
	Slow Fault = "Slow"
	// Unavailable refuses the call.
	Unavailable Fault = "Unavailable"
)

const slowDelay = 2 * time.Second

// Fault is what goes wrong with one call.
type Fault string

// Switch decides the fault of each call. The zero value has none. Its methods
// may be called from any goroutine.
type Switch struct {
	// Decide, if set, is asked before each call and goes before Set. It must
	// not call the service.
	Decide func(operation string) Fault

	mutex sync.Mutex
	fault Fault
}

// Do carries out one call under its fault.
func (s *Switch) Do(ctx context.Context, operation string, call func() error) error {
	switch s.decide(operation) {
	case AnswerLost:
		// The result is lost with the answer.
		_ = call()
		return rest.ErrUnknown
	case Doubled:
		_ = call()
		return call()
	case RequestLost:
		return rest.ErrUnknown
	case Silent:
		<-ctx.Done()
		return rest.ErrUnknown
	case Slow:
		if !wait(ctx, slowDelay) {
			return rest.ErrUnknown
		}
		return call()
	case Unavailable:
		return rest.ErrUnavailable
	}
	return call()
}

// Set sets the fault of all calls; the empty Fault mends them.
func (s *Switch) Set(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

func (s *Switch) decide(operation string) Fault {
	if s.Decide != nil {
		return s.Decide(operation)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fault
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
