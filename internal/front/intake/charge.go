package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

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
