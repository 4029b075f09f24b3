package lacewingtally_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/lacewingtally/lacewingtally"
)

func member(address string) lacewingtally.MemberID {
	return lacewingtally.MemberID{Address: netip.MustParseAddrPort(address), Incarnation: "first"}
}

// A challenger takes over a lease only after its holder has stopped. The clocks of
// the two are not compared.
func ExampleLease() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	holder := lacewingtally.Lease{Self: member("10.0.0.1:7000")}
	challenger := lacewingtally.Lease{Self: member("10.0.0.2:7000")}

	// The row does not exist, so the holder acquires the lease. The lease starts
	// before the write is sent.
	holder.Seen(start, lacewingtally.LeaseRow{}, 0)
	a := holder.Next(start)
	holder.Wrote(start, a)
	epoch, deadline, _ := holder.Check(start)
	fmt.Println("holder has epoch", epoch)

	// The challenger reads the row, and later reads it unchanged.
	seen := start.Add(100 * time.Millisecond)
	challenger.Seen(seen, a.Row, 1)
	late := seen.Add(time.Minute)
	challenger.Seen(late, a.Row, 1)
	b := challenger.Next(late)
	challenger.Wrote(late, b)
	epoch, _, _ = challenger.Check(late)
	fmt.Println("challenger has epoch", epoch)

	_, _, err := holder.Check(deadline)
	fmt.Println("holder has stopped:", errors.Is(err, lacewingtally.ErrNotHeld))
	// Output:
	// holder has epoch 1
	// challenger has epoch 2
	// holder has stopped: true
}

// A cell of one server with one slot admits one request at a time.
func ExampleCell() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	entry := member("10.0.0.1:7000")
	var c lacewingtally.Cell
	c.Servers(now, []lacewingtally.Server{{ID: "engine-1", Pool: "assistant", State: "Live", Kind: "Standard", Capacity: 1}})

	ask := func(id string, w lacewingtally.Workspace) lacewingtally.Ask {
		r := lacewingtally.Request{Workspace: w, Pool: "assistant", Deadline: now.Add(time.Minute)}
		return lacewingtally.Ask{ID: lacewingtally.AskID("ask/" + id), Entry: entry, Since: now, Request: r}
	}
	first := c.Ask(now, ask("1", "bakers"))
	fmt.Println("granted on", first[0].Grant.Server.ID)
	grant := first[0].Grant.ID
	fmt.Println("answers while the slot is taken:", len(c.Ask(now, ask("2", "caterers"))))
	next := c.Release(now, grant, lacewingtally.Report{Outcome: "Completed"})
	fmt.Println("next:", next[0].Ask)
	// Output:
	// granted on engine-1
	// answers while the slot is taken: 0
	// next: ask/2
}

// A request that must not be repeated is claimed before it is sent. A retry
// receives the stored answer and does not run.
func ExampleClaims() {
	ctx, cancel := context.WithCancel(context.Background())
	claims := lacewingtally.NewClaims(lacewingtally.Settle(&lacewingtally.MemoryTable{}))
	done := make(chan error)
	go func() { done <- claims.Serve(ctx) }()

	const fingerprint = 42
	held, _, _ := claims.Begin(ctx, "bakers", "booking-1", fingerprint)
	fmt.Println("may be sent:", held != nil)
	_ = held.Keep(ctx, lacewingtally.Answer{Body: []byte("oven 3, 06:00")})

	held, answer, _ := claims.Begin(ctx, "bakers", "booking-1", fingerprint)
	fmt.Println("may be sent again:", held != nil)
	fmt.Println("kept answer:", string(answer.Body))
	cancel()
	fmt.Println("stopped:", errors.Is(<-done, context.Canceled))
	// Output:
	// may be sent: true
	// may be sent again: false
	// kept answer: oven 3, 06:00
	// stopped: true
}
