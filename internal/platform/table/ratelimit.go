package table

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// RateLimited is a Table that limits the rate of one daemon's calls. A call over
// the limit waits; one that could not be made before its context ends fails with
// ErrUnavailable.
type RateLimited struct {
	Table Table
	// Limiter limits the calls; nil means no limit.
	Limiter *rate.Limiter
}

// NewRateLimited returns a RateLimited that permits perSecond calls per second,
// with bursts of the same number.
func NewRateLimited(t Table, perSecond int) RateLimited {
	return RateLimited{Table: t, Limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Commit implements Table.
func (r RateLimited) Commit(ctx context.Context, t Txn) error {
	if err := r.acquire(ctx); err != nil {
		return err
	}
	return r.Table.Commit(ctx, t)
}

// Read implements Table.
func (r RateLimited) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := r.acquire(ctx); err != nil {
		return nil, err
	}
	return r.Table.Read(ctx, keys...)
}

// Scan implements Table.
func (r RateLimited) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := r.acquire(ctx); err != nil {
		return nil, err
	}
	return r.Table.Scan(ctx, prefix, after, limit)
}

func (r RateLimited) acquire(ctx context.Context) error {
	if r.Limiter == nil {
		return nil
	}
	if err := r.Limiter.Wait(ctx); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
