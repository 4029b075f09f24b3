package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// queueLength is the maximum number of frames queued on a connection, and
	// streamQueueLength that at the calling end of a stream, which sends little.
	queueLength       = 1024
	streamQueueLength = 16
	// idleTicks is the number of ping intervals for which a connection without
	// open calls stays open.
	idleTicks = 5
	// pingInterval is the time after which the calling end sends a ping if it
	// has written nothing else.
	pingInterval = time.Second
	// readTimeout is how long a connection may receive no frame before it is
	// closed.
	readTimeout = 3 * time.Second
	// writeTimeout limits the time of one write.
	writeTimeout = 2 * time.Second
)

// errQueueFull is returned when the peer does not read fast enough.
var errQueueFull = errors.New("wire: write queue is full")

// frameLink is one connection. Its owner runs write, which writes queued
// frames, and read, each in a goroutine. The calling end sends pings.
type frameLink struct {
	conn net.Conn
	// openCalls returns the number of open calls. It is set at the calling end
	// only.
	openCalls func() int
	// queue is never closed.
	queue chan queued
	// closed is closed once, by close.
	closed chan struct{}
	once   sync.Once
	// unbounded is whether a write may take longer than writeTimeout.
	unbounded atomic.Bool
	// reader is what the first frame was read from; nil if read reads it. reserve is that of
	// Limits.
	reader   *bufio.Reader
	reserve  func(bytes int64) (release func(), ok bool)
	counters *Counters
	clock    Clock
}

type queued struct {
	frame frame
	// onSend, if set, is called just before the first byte is written.
	onSend func()
}

// newFrameLink returns a link on which at most length frames are queued.
func newFrameLink(c net.Conn, length int, counters *Counters, clock Clock) *frameLink {
	return &frameLink{
		conn:     c,
		queue:    make(chan queued, length),
		closed:   make(chan struct{}),
		counters: counters,
		clock:    clock,
	}
}

// close closes the connection, which ends both goroutines. It may be called
// more than once.
func (l *frameLink) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// read calls handle for each frame except pings and pongs until the link fails,
// and returns the cause. Any frame restarts readTimeout.
func (l *frameLink) read(handle func(f frame) error) error {
	defer l.close()
	r := l.reader
	if r == nil {
		r = bufio.NewReader(l.conn)
	}
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		f, err := readFrameWithin(r, MaxRequest, l.reserve)
		if err != nil {
			l.countBadFrame(err)
			return err
		}
		l.counters.BytesRead.Add(int64(headerSize + len(f.body)))
		l.clock.Observe(f.logical)
		switch f.typ {
		case framePing:
			err = l.send(frame{typ: framePong}, nil)
		case framePong:
		default:
			err = handle(f)
		}
		if err != nil {
			l.countBadFrame(err)
			return err
		}
	}
}

// send queues a frame without blocking. It fails if the link is closed or its
// queue is full.
func (l *frameLink) send(f frame, onSend func()) error {
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
	}
	select {
	case l.queue <- queued{frame: f, onSend: onSend}:
		return nil
	default:
		return errQueueFull
	}
}

// write writes queued frames until the link is closed.
func (l *frameLink) write() {
	defer l.close()
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	var b []byte
	var idle int
	wrote := true
	for {
		b = b[:0]
		select {
		case <-l.closed:
			return
		case q := <-l.queue:
			b = l.appendQueued(b, q)
			wrote = true
			idle = 0
		case <-t.C:
			if l.openCalls == nil {
				continue
			}
			if l.openCalls() == 0 {
				idle++
			}
			if idle > idleTicks {
				return
			}
			if !wrote {
				b = l.appendStamped(b, frame{typ: framePing})
			}
			wrote = false
		}
		if err := l.flush(b); err != nil {
			return
		}
	}
}

func (l *frameLink) countBadFrame(err error) {
	if errors.Is(err, ErrFrame) {
		l.counters.BadFrames.Add(1)
	}
}

func (l *frameLink) flush(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	deadline := time.Now().Add(writeTimeout)
	if l.unbounded.Load() {
		deadline = time.Time{}
	}
	if err := l.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	n, err := l.conn.Write(b)
	l.counters.BytesWritten.Add(int64(n))
	return err
}

// appendQueued appends q and the frames queued after it, so that one write
// sends them all.
func (l *frameLink) appendQueued(b []byte, q queued) []byte {
	for {
		if q.onSend != nil {
			q.onSend()
		}
		b = l.appendStamped(b, q.frame)
		select {
		case q = <-l.queue:
		default:
			return b
		}
		if len(b) > MaxBody {
			if q.onSend != nil {
				q.onSend()
			}
			return l.appendStamped(b, q.frame)
		}
	}
}

// appendStamped appends a frame with the current logical time.
func (l *frameLink) appendStamped(b []byte, f frame) []byte {
	f.logical = l.clock.Logical()
	return appendFrame(b, f)
}
