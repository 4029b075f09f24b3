package matrix

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// FreezeTime is how long a process stays frozen by default. It is longer than
	// any lease.
	FreezeTime = 20 * time.Second
	// DelayTime is the default delay of a delayed call.
	DelayTime = 2 * time.Second
)

// Errors are the errors of a service for a failed call.
type Errors struct {
	// Unavailable reports that the call was not executed.
	Unavailable error
	// Unknown reports that the call may have been executed.
	Unknown error
}

// Process executes the calls of one simulated process with the faults of an
// Injector. Its methods may be called from any goroutine.
type Process struct {
	// These override the constants of the same names if they are not zero.
	FreezeTime time.Duration
	DelayTime  time.Duration

	injector *Injector
	// kill stops the goroutines of the process.
	kill context.CancelFunc

	mutex  sync.Mutex
	killed bool
	// frozenUntil is when a frozen process continues.
	frozenUntil time.Time
	delayed     sync.WaitGroup
}

// Table wraps a table with the faults of one process.
type Table struct {
	Inner   table.Table
	Process *Process
	// Step returns the step of a call, empty for none.
	Step func(commit bool, keys []table.Key) Step
}

// NewProcess returns a process with the faults of i. kill must stop the
// goroutines of the process.
func NewProcess(i *Injector, kill context.CancelFunc) *Process {
	return &Process{injector: i, kill: kill}
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.killed
}

// Do executes one call of step s, with the next fault for that step.
func (p *Process) Do(s Step, e Errors, call func() error) error {
	p.Pause()
	if p.Killed() {
		return e.Unavailable
	}
	f := Fault("")
	if s != "" {
		f = p.injector.Take(s)
	}
	switch f {
	case AnswerLost:
		_ = call()
		return e.Unknown
	case FreezeAfter:
		err := call()
		p.freeze()
		return err
	case FreezeBefore:
		p.freeze()
		return call()
	case KillAfter:
		_ = call()
		p.terminate()
		return e.Unknown
	case KillBefore:
		p.terminate()
		return e.Unavailable
	case Delayed:
		p.delayed.Go(func() {
			time.Sleep(cmp.Or(p.DelayTime, DelayTime))
			_ = call()
		})
		return e.Unknown
	case RequestLost:
		return e.Unknown
	case Unavailable:
		return e.Unavailable
	}
	return call()
}

// Pause blocks while the process is frozen.
func (p *Process) Pause() {
	p.mutex.Lock()
	t := p.frozenUntil
	p.mutex.Unlock()
	time.Sleep(time.Until(t))
}

// Wait waits until the delayed calls have returned.
func (p *Process) Wait() {
	p.delayed.Wait()
}

func (p *Process) terminate() {
	p.mutex.Lock()
	p.killed = true
	p.mutex.Unlock()
	p.kill()
}

func (p *Process) freeze() {
	p.mutex.Lock()
	p.frozenUntil = time.Now().Add(cmp.Or(p.FreezeTime, FreezeTime))
	p.mutex.Unlock()
	p.Pause()
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, x table.Txn) error {
	var keys []table.Key
	for _, w := range x.Writes {
		keys = append(keys, w.Key)
	}
	e := Errors{Unavailable: table.ErrUnavailable, Unknown: table.ErrUnknown}
	return t.Process.Do(t.Step(true, keys), e, func() error { return t.Inner.Commit(context.WithoutCancel(ctx), x) })
}

// Read implements table.Table.
func (t *Table) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	var rows []table.Row
	e := Errors{Unavailable: table.ErrUnavailable, Unknown: table.ErrUnavailable}
	err := t.Process.Do(t.Step(false, keys), e, func() error {
		r, err := t.Inner.Read(context.WithoutCancel(ctx), keys...)
		rows = r
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Scan implements table.Table.
func (t *Table) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	var rows []table.Row
	e := Errors{Unavailable: table.ErrUnavailable, Unknown: table.ErrUnavailable}
	err := t.Process.Do(t.Step(false, []table.Key{prefix}), e, func() error {
		r, err := t.Inner.Scan(context.WithoutCancel(ctx), prefix, after, limit)
		rows = r
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}
