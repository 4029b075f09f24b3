package schedule

import "time"

// maxTextWait limits how long an item waits for a server that can continue its text.
const maxTextWait = 2 * time.Second

// StartsOver reports whether a waiting item discards its text and starts over on any
// server. compatible is the number of servers that are in use and could continue the
// text, others the number of those that could only generate it again, and pace the time per
// token. An item keeps its text while no server is known that could generate it again, for
// example before this daemon knows any. While there are some of both, the item waits for a free slot on one of the first
// for no longer than generating the text again would take: whichever comes first, it loses
// at most twice the time of the better choice. It is offered to them at least once: offered
// is whether it has been.
func (i Item) StartsOver(now time.Time, offered bool, compatible, others int, pace time.Duration) bool {
	if _, ok := i.Software.Get(); !ok {
		return false
	}
	if others == 0 {
		return false
	}
	if compatible == 0 {
		return true
	}
	if !offered {
		return false
	}
	again := time.Duration(i.Produced) * pace
	return now.Sub(i.ReadyAt) > min(again, maxTextWait)
}
