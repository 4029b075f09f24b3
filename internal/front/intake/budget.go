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
