package reach

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// lagInterval is the time between two connections of a lagMeter.
const lagInterval = 20 * time.Millisecond

// lagMeter measures how late this daemon runs: it opens connections to itself, which take
// the same steps as those to servers but no network.
type lagMeter struct {
	log *zap.Logger

	mutex sync.Mutex
	// begunAt is when the connection that is being opened was begun; zero if none is.
	begunAt time.Time
	// longest is the longest time that opening one took.
	longest time.Duration
}

// newLagMeter returns a lagMeter that measures until the context ends.
func newLagMeter(ctx context.Context, log *zap.Logger) *lagMeter {
	m := &lagMeter{log: log, begunAt: time.Now()}
	go m.run(ctx)
	return m
}

// lag returns the longest lag so far.
func (m *lagMeter) lag() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.begunAt.IsZero() {
		return m.longest
	}
	return max(m.longest, time.Since(m.begunAt))
}

func (m *lagMeter) run(ctx context.Context) {
	defer m.opened()
	// The deadline of a connection passes shortly before its context ends.
	if err := m.measure(ctx); err != nil && ctx.Err() == nil && !isTimeout(err) {
		m.log.Warn("cannot measure the lag of this daemon", zap.Error(err))
	}
}

// measure opens connections until the context ends.
func (m *lagMeter) measure(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "reach: listen for itself")
	}
	defer func() { _ = l.Close() }()
	for ctx.Err() == nil {
		if err := connect(ctx, l); err != nil {
			return err
		}
		m.opened()
		fleet.Sleep(ctx, lagInterval)
		m.opening()
	}
	return nil
}

// opening records that a connection is begun.
func (m *lagMeter) opening() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begunAt = time.Now()
}

// opened records that the connection that was begun has been opened.
func (m *lagMeter) opened() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.begunAt.IsZero() {
		m.longest = max(m.longest, time.Since(m.begunAt))
	}
	m.begunAt = time.Time{}
}

// connect opens a connection to a listener of this daemon and closes it.
func connect(ctx context.Context, l net.Listener) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return errors.Wrap(err, "reach: connect to itself")
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		return errors.Wrap(err, "reach: connect to itself")
	}
	defer accepted.Close()
	// It is reset: a connection that is closed would use up a port for a minute.
	if t, ok := accepted.(*net.TCPConn); ok {
		return t.SetLinger(0)
	}
	return nil
}
