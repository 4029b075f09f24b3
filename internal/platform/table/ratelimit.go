package table

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// RateLimited is a Table that limits the rate of one daemon's calls. A call over the
// limit waits; one that could not be made before its context ends fails with
// ErrUnavailable.
type RateLimited struct {
	Table Table
	// Limiter limits the calls; nil means no limit.
	Limiter *rate.Limiter
}

// NewRateLimited returns a Budget of perSecond calls per second, with bursts of the
// same number.
func NewRateLimited(t Table, perSecond int) RateLimited {
	return RateLimited{Table: t, Limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Commit implements Table.
func (b RateLimited) Commit(ctx context.Context, t Txn) error {
	if err := b.acquire(ctx); err != nil {
		return err
	}
	return b.Table.Commit(ctx, t)
}

// Read implements Table.
func (b RateLimited) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := b.acquire(ctx); err != nil {
		return nil, err
	}
	return b.Table.Read(ctx, keys...)
}

// Scan implements Table.
func (b RateLimited) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := b.acquire(ctx); err != nil {
		return nil, err
	}
	return b.Table.Scan(ctx, prefix, after, limit)
}

func (b RateLimited) acquire(ctx context.Context) error {
	if b.Limiter == nil {
		return nil
	}
	if err := b.Limiter.Wait(ctx); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
