package matrix

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// Freeze is how long a frozen process stands still, unless it says
	// otherwise; it is more than any lease.
	Freeze = 20 * time.Second
	// Lateness is by how much a late call comes late, unless the process says
	// otherwise.
	Lateness = 2 * time.Second
)

// Errors are what a service answers to a call that failed.
type Errors struct {
	Unavailable error
	Unknown     error
}

// Process carries the calls of one process out under the faults of an
// Injector. Its methods may be called from any goroutine.
type Process struct {
	// Freeze and Lateness replace the constants when they are set.
	Freeze   time.Duration
	Lateness time.Duration

	injector *Injector
	// kill ends the goroutines of the process.
	kill context.CancelFunc

	mutex sync.Mutex
	dead  bool
	// thaw is when a frozen process goes on.
	thaw time.Time
	late sync.WaitGroup
}

// Table is a table as one process sees it.
type Table struct {
	Inner   table.Table
	Process *Process
	// Step names the step of a call, empty for none.
	Step func(commit bool, keys []table.Key) Step
}

// NewProcess returns a process that kill ends.
func NewProcess(i *Injector, kill context.CancelFunc) *Process {
	return &Process{injector: i, kill: kill}
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dead
}

// Do carries one call out.
func (p *Process) Do(s Step, e Errors, call func() error) error {
	p.Pause()
	if p.Dead() {
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
		p.end()
		return e.Unknown
	case KillBefore:
		p.end()
		return e.Unavailable
	case Late:
		p.late.Go(func() {
			time.Sleep(cmp.Or(p.Lateness, Lateness))
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

// Pause waits while the process is frozen.
func (p *Process) Pause() {
	p.mutex.Lock()
	t := p.thaw
	p.mutex.Unlock()
	time.Sleep(time.Until(t))
}

// Wait waits for the late calls.
func (p *Process) Wait() {
	p.late.Wait()
}

func (p *Process) end() {
	p.mutex.Lock()
	p.dead = true
	p.mutex.Unlock()
	p.kill()
}

func (p *Process) freeze() {
	p.mutex.Lock()
	p.thaw = time.Now().Add(cmp.Or(p.Freeze, Freeze))
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
