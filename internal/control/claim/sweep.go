package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// Retention is how long a claim is kept. A repeat that arrives later counts
	// as a new request.
	Retention = 24 * time.Hour
	// sweepInterval is the interval between two pages of one daemon's sweep.
	sweepInterval = 30 * time.Second
	// sweepLimit bounds the rows of one page.
	sweepLimit = 100
)

// sweeper deletes expired claims, one page at a time. Every daemon runs one; if
// another daemon has deleted a row first, the transaction ends with a conflict.
type sweeper struct {
	// after is the last key of the previous page; empty starts from the first key.
	after table.Key
	table table.Table
}

func (s *sweeper) serve(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.page(ctx, time.Now())
		}
	}
}

// page reads one page and deletes the expired claims in it. After an error the
// next call reads the same page again.
func (s *sweeper) page(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, Prefix, s.after, sweepLimit)
	if err != nil {
		return
	}
	t := table.Txn{ID: uuid.NewString()}
	for _, r := range rows {
		record, err := decode(r.Value)
		if err != nil || now.Before(record.At.Add(Retention)) {
			continue
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: r.Key, Version: r.Version})
		t.Writes = append(t.Writes, table.Write{Key: r.Key, Delete: true})
	}
	if len(t.Writes) > 0 {
		if err := s.table.Commit(ctx, t); err != nil {
			return
		}
	}
	s.after = ""
	if len(rows) == sweepLimit {
		s.after = rows[len(rows)-1].Key
	}
}
