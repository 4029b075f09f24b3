package wire

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// queueLength bounds the frames that wait to be written on a connection.
	queueLength = 1024
	// idleTicks is how many ping intervals a connection without calls stays
	// open.
	idleTicks = 5
	// pingInterval is the time after which the calling end pings if it has
	// written nothing else.
	pingInterval = time.Second
	// silenceLimit is how long a connection may be silent before it is closed.
	silenceLimit = 3 * time.Second
	// writeLimit is how long one write may take.
	writeLimit = 2 * time.Second
)

// errQueue says that the peer does not read fast enough.
var errQueue = errors.New("wire: write queue is full")

// frameLink is one connection: a goroutine that writes queued frames, and a
// reader that the owner runs. The calling end pings.
type frameLink struct {
	conn net.Conn
	// open, set at the calling end only, returns the number of open calls.
	open func() int
	// queue is never closed.
	queue chan queued
	// closed is closed once, by close.
	closed chan struct{}
	once   sync.Once
	count  *Counters
	clock  Clock
}

type queued struct {
	frame frame
	// sending, if set, is called just before the first byte is written.
	sending func()
}

func newLink(c net.Conn, count *Counters, clock Clock) *frameLink {
	return &frameLink{
		conn:   c,
		queue:  make(chan queued, queueLength),
		closed: make(chan struct{}),
		count:  count,
		clock:  clock,
	}
}

// close ends both goroutines of the link. It may be called more than once.
func (l *frameLink) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// read calls handle for each frame but pings until the link fails, and returns
// why. Any frame counts as a sign of life.
func (l *frameLink) read(handle func(f frame) error) error {
	defer l.close()
	r := bufio.NewReader(l.conn)
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return err
		}
		f, err := readFrame(r)
		if err != nil {
			l.countBad(err)
			return err
		}
		l.count.BytesRead.Add(int64(headerSize + len(f.body)))
		l.clock.Observe(f.logical)
		switch f.kind {
		case framePing:
			err = l.send(frame{kind: framePong}, nil)
		case framePong:
		default:
			err = handle(f)
		}
		if err != nil {
			l.countBad(err)
			return err
		}
	}
}

// send queues a frame and does not block. It fails when the link is closed or
// its queue is full.
func (l *frameLink) send(f frame, sending func()) error {
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
	}
	select {
	case l.queue <- queued{frame: f, sending: sending}:
		return nil
	default:
		return errQueue
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
			b = l.gather(b, q)
			wrote = true
			idle = 0
		case <-t.C:
			if l.open == nil {
				continue
			}
			if l.open() == 0 {
				idle++
			}
			if idle > idleTicks {
				return
			}
			if !wrote {
				b = l.stamp(b, frame{kind: framePing})
			}
			wrote = false
		}
		if err := l.flush(b); err != nil {
			return
		}
	}
}

func (l *frameLink) countBad(err error) {
	if errors.Is(err, ErrFrame) {
		l.count.BadFrames.Add(1)
	}
}

func (l *frameLink) flush(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	n, err := l.conn.Write(b)
	l.count.BytesWritten.Add(int64(n))
	return err
}

// gather appends q and all frames that wait behind it, so that one write
// carries them.
func (l *frameLink) gather(b []byte, q queued) []byte {
	for {
		if q.sending != nil {
			q.sending()
		}
		b = l.stamp(b, q.frame)
		select {
		case q = <-l.queue:
		default:
			return b
		}
		if len(b) > MaxBody {
			if q.sending != nil {
				q.sending()
			}
			return l.stamp(b, q.frame)
		}
	}
}

// stamp appends a frame with the time of its writing.
func (l *frameLink) stamp(b []byte, f frame) []byte {
	f.logical = l.clock.Logical()
	return appendFrame(b, f)
}
