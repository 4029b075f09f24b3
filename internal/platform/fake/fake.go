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
	// Duplicate executes the call twice and returns the second result.
	Duplicate Fault = "Doubled"
	// RequestLost drops the call; the caller receives ErrUnknown.
	RequestLost Fault = "RequestLost"
	// Hang drops the call, blocks until the context ends and returns
	// ErrUnknown.
	Hang Fault = "Silent"
	// Slow executes the call after slowDelay. If the context ends first, it
	// drops the call and returns ErrUnknown.
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
func (i *Injector) Do(ctx context.Context, operation string, call func() error) error {
	switch i.decide(operation) {
	case AnswerLost:
		// The result is lost with the response.
		_ = call()
		return rest.ErrUnknown
	case Duplicate:
		_ = call()
		return call()
	case RequestLost:
		return rest.ErrUnknown
	case Hang:
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
func (i *Injector) Set(f Fault) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.fault = f
}

func (i *Injector) decide(operation string) Fault {
	if i.Decide != nil {
		return i.Decide(operation)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.fault
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
