package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/loop"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func TestDoRunsSeriallyAndFailsAfterServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := loop.New()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- l.Serve(ctx) }()
		count := 0
		ends := make(chan error, 10)
		for range cap(ends) {
			go func() { ends <- l.Do(context.Background(), func(time.Time) { count++ }) }()
		}
		for range cap(ends) {
			must.NoError(t, <-ends)
		}
		must.Eq(t, cap(ends), count)
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
		must.ErrorIs(t, l.Do(context.Background(), func(time.Time) {}), loop.ErrStopped)
	})
}
