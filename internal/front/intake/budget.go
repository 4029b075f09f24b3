// Package intake bounds what clients can make a daemon hold: the bytes of requests and
// responses, the connections and their headers. Under pressure it sheds the transfers that
// hold most and progress least.
package intake

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// budgetFraction is the fraction of the daemon's memory that requests and responses may
	// hold together. On the smallest machine the largest body must fit beside the part that is
	// reserved for small ones.
	budgetFraction = 0.3
	// reservedFraction is the fraction of the budget that large bodies may not use, and
	// responseReservedFraction that which large responses may not use: the response to the
	// largest body must fit beside it.
	reservedFraction         = 0.2
	responseReservedFraction = 0.1
	// smallCharge is the largest charge that may use the reserved part, in bytes. An ordinary
	// batch job costs less while it is decoded.
	smallCharge = 1 << 20
	// garbageThreshold is the size in bytes from which a buffer that is given back counts as
	// used until the garbage collector has run.
	garbageThreshold = 256 << 10
	// rescanInterval is the time between two searches for a transfer to shed while a charge
	// waits.
	rescanInterval = 20 * time.Millisecond
)

// Errors of charges.
var (
	// ErrBusy is returned when the budget has no room, or when a transfer was shed to make
	// room for others.
	ErrBusy = errors.New("intake: no memory for the body")
	// errEnded is returned when the request that a charge belongs to has ended.
	errEnded = errors.New("intake: request has ended")
)

// Budget is the number of bytes that the requests and responses of a daemon may hold. Use
// NewBudget; a nil Budget has no limit. Its methods may be called from any goroutine.
type Budget struct {
	// total is the limit in bytes, large that of large charges, and responses that of large
	// charges with which a response ends.
	total, large, responses int64
	// collect runs the garbage collector.
	collect func()

	mutex sync.Mutex
	// used includes largeUsed and garbage; largeUsed includes the large part of garbage.
	used, largeUsed int64
	// garbage and largeGarbage are the bytes given back since the last collection.
	garbage, largeGarbage int64
	collecting            bool
	holders               map[*account]struct{}
	// changed is closed and replaced when bytes are given back.
	changed chan struct{}
}

// holder is a client that makes the daemon hold bytes.
type holder interface {
	// slow reports whether its transfer progresses too slowly to be kept under pressure.
	slow(now time.Time) bool
	// shed ends its transfer.
	shed(c Cause)
}

// account is what one request holds.
type account struct {
	budget *Budget
	// holder is nil if the request cannot be shed.
	holder holder

	// Guarded by budget.mutex.
	held, heldLarge int64
	// heldGarbage is the part of held in buffers of garbageThreshold or more.
	heldGarbage int64
	ended       bool
}

// charge is what one buffer of a request costs. It grows, and ends with its account.
type charge struct {
	account *account
	bytes   int64
	// large is whether it will exceed smallCharge, as far as is known: it then does not use the
	// reserved part from the beginning.
	large bool
	// response is whether it is that of a response.
	response bool
	// unknown is whether its final size is not known: it then leaves the reserved part sooner.
	unknown bool
}

// NewBudget returns the budget of a daemon with so many bytes of memory, or nil if memory
// is 0.
func NewBudget(memory int64) *Budget {
	if memory <= 0 {
		return nil
	}
	return newBudget(int64(budgetFraction*float64(memory)), runtime.GC)
}

func newBudget(total int64, collect func()) *Budget {
	return &Budget{
		total: total, large: total - int64(reservedFraction*float64(total)),
		responses: total - int64(responseReservedFraction*float64(total)), collect: collect,
		holders: make(map[*account]struct{}), changed: make(chan struct{}),
	}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used - b.garbage
}

// Reserve reserves bytes outside of the part for small charges, until release is called. It
// does not wait.
func (b *Budget) Reserve(bytes int64) (release func(), ok bool) {
	a := b.open(nil)
	c := charge{account: a, large: true}
	if b == nil {
		return a.end, true
	}
	bytes = min(bytes, b.large)
	for {
		ok, _, err := c.try(bytes)
		if ok || err != nil {
			return a.end, ok
		}
		if !b.reclaim(&c, bytes) {
			b.makeRoom(a)
			return a.end, false
		}
	}
}

// open returns the account of a request.
func (b *Budget) open(h holder) *account {
	return &account{budget: b, holder: h}
}

// Begin begins a request that does not come from a client's connection: its responses are charged to
// the budget by the context that it returns, until end is called.
func (b *Budget) Begin(ctx context.Context) (charged context.Context, end func()) {
	a := b.open(nil)
	return context.WithValue(ctx, accountKey{}, a), a.end
}

// end gives back all that the account holds. Further charges fail.
func (a *account) end() {
	if a == nil || a.budget == nil {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.ended = true
	delete(b.holders, a)
	b.garbage += a.heldGarbage
	if a.heldGarbage > 0 {
		b.largeGarbage += a.heldLarge
	} else {
		b.largeUsed -= a.heldLarge
	}
	b.used -= a.held - a.heldGarbage
	a.held, a.heldLarge, a.heldGarbage = 0, 0, 0
	close(b.changed)
	b.changed = make(chan struct{})
}

// grow raises the charge to so many bytes. While there is no room, it sheds transfers and
// waits, until the context ends or the time is over. Its error is ErrBusy, errEnded or that
// of the context.
func (c *charge) grow(ctx context.Context, bytes int64, patience time.Duration) error {
	if c.account == nil || c.account.budget == nil || bytes <= c.bytes {
		return nil
	}
	b := c.account.budget
	// The largest request must fit in calm conditions, whatever it costs.
	bytes = min(bytes, b.large)
	if bytes == c.bytes {
		return nil
	}
	var end <-chan time.Time
	for {
		ok, changed, err := c.try(bytes)
		if ok || err != nil {
			return err
		}
		if b.reclaim(c, bytes) {
			continue
		}
		b.makeRoom(c.account)
		if end == nil {
			t := time.NewTimer(patience)
			defer t.Stop()
			end = t.C
		}
		rescan := time.NewTimer(rescanInterval)
		select {
		case <-changed:
		case <-rescan.C:
		case <-end:
			rescan.Stop()
			return ErrBusy
		case <-ctx.Done():
			rescan.Stop()
			return errors.Wrap(ctx.Err(), "intake: no memory for the body")
		}
		rescan.Stop()
	}
}

// release gives back the charge, whose buffer is no longer used.
func (c *charge) release() {
	a := c.account
	if a == nil || a.budget == nil || c.bytes == 0 {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.ended {
		return
	}
	large := int64(0)
	if c.large {
		large = c.bytes
	}
	a.held -= c.bytes
	a.heldLarge -= large
	if c.bytes >= garbageThreshold {
		a.heldGarbage -= c.bytes
		b.garbage += c.bytes
		b.largeGarbage += large
	} else {
		b.used -= c.bytes
		b.largeUsed -= large
	}
	c.bytes, c.large = 0, false
	close(b.changed)
	b.changed = make(chan struct{})
}

// try raises the charge if there is room.
func (c *charge) try(bytes int64) (bool, <-chan struct{}, error) {
	a := c.account
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.ended {
		return false, nil, errEnded
	}
	more, largeMore := c.need(bytes)
	if !c.fits(bytes, 0, 0) {
		return false, b.changed, nil
	}
	b.used += more
	b.largeUsed += largeMore
	a.held += more
	a.heldLarge += largeMore
	if bytes >= garbageThreshold {
		a.heldGarbage += more
		if c.bytes < garbageThreshold {
			a.heldGarbage += c.bytes
		}
	}
	c.bytes, c.large = bytes, largeMore > 0
	b.holders[a] = struct{}{}
	return true, nil, nil
}

// need returns by how much the charge rises, and its large part.
func (c *charge) need(bytes int64) (more, largeMore int64) {
	more = bytes - c.bytes
	switch {
	case c.large:
		return more, more
	case bytes > smallCharge, c.unknown && bytes > garbageThreshold, c.unknown && c.response && bytes > firstResponseStep:
		return more, bytes
	}
	return more, 0
}

// fits reports whether the charge can be raised once so much garbage is collected. The mutex
// is held.
func (c *charge) fits(bytes, garbage, largeGarbage int64) bool {
	b := c.account.budget
	most := b.large
	if c.response {
		most = b.responses
	}
	more, largeMore := c.need(bytes)
	return b.used-garbage+more <= b.total && (largeMore == 0 || b.largeUsed-largeGarbage+largeMore <= most)
}

// makeRoom sheds the transfer that holds most among those that progress too slowly, except
// that of the account itself. It sheds none while garbage is being collected, which may make
// room.
func (b *Budget) makeRoom(except *account) {
	now := time.Now()
	b.mutex.Lock()
	if b.collecting {
		b.mutex.Unlock()
		return
	}
	var victim *account
	for a := range b.holders {
		if a != except && a.holder != nil && (victim == nil || a.held > victim.held) && a.holder.slow(now) {
			victim = a
		}
	}
	b.mutex.Unlock()
	if victim != nil {
		victim.holder.shed(causeMemory)
	}
}

// reclaim runs the garbage collector if the charge then has room, because buffers were given
// back since it last ran, and reports whether it has.
func (b *Budget) reclaim(c *charge, bytes int64) bool {
	b.mutex.Lock()
	garbage, large := b.garbage, b.largeGarbage
	if garbage == 0 || b.collecting || !c.fits(bytes, garbage, large) {
		b.mutex.Unlock()
		return false
	}
	b.collecting = true
	b.mutex.Unlock()
	b.collect()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.collecting = false
	b.garbage -= garbage
	b.largeGarbage -= large
	b.used -= garbage
	b.largeUsed -= large
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
