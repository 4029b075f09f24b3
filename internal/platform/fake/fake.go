// Package fake injects faults into the in-process services of the platform.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Faults of a call. The zero value is none.
const (
	// AnswerLost executes the call and drops the response.
	AnswerLost Fault = "AnswerLost"
	// Doubled executes the call twice and returns the second result.
	Doubled Fault = "Doubled"
	// RequestLost drops the call; the caller receives ErrUnknown.
	RequestLost Fault = "RequestLost"
	// Silent drops the call and blocks until the context ends.
	Silent Fault = "Silent"
	// Slow executes the call after slowDelay.
	Slow Fault = "Slow"
	// Unavailable refuses the call with ErrUnavailable.
	Unavailable Fault = "Unavailable"
)

const slowDelay = 2 * time.Second

// Fault is the fault injected into one call.
type Fault string

// Injector injects faults into calls. The zero value injects none. Its methods may
// be called from any goroutine.
type Injector struct {
	// Decide, if set, returns the fault of each call and takes precedence
	// over Set. It must not call the service.
	Decide func(operation string) Fault

	mutex sync.Mutex
	fault Fault
}

// Do executes one call with its fault.
func (s *Injector) Do(ctx context.Context, operation string, call func() error) error {
	switch s.decide(operation) {
	case AnswerLost:
		// The result is lost with the response.
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

// Set sets the fault of all calls; the empty Fault removes it.
func (s *Injector) Set(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

func (s *Injector) decide(operation string) Fault {
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
