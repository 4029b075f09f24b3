package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxBody is the largest body of a frame, in bytes.
	MaxBody = 1 << 20
	// MaxRequest is the largest body of a call whose answer arrives in parts, in bytes.
	MaxRequest = 64 << 20
	// version is the protocol version; both ends must have the same.
	version = 1
	// headerSize is the size of a frame's header, in bytes: body length (4),
	// version (1), type (1), kind (1), call ID (8), logical time (8).
	headerSize = 23
)

// Types of frame. The numbers are part of the protocol.
const (
	frameHello  frameType = 1
	frameCall   frameType = 2
	frameAnswer frameType = 3
	frameFail   frameType = 4
	frameCancel frameType = 5
	framePing   frameType = 6
	framePong   frameType = 7
	framePart   frameType = 8
	frameOpen   frameType = 9
)

// ErrFrame reports a malformed or unexpected frame. Its connection is closed.
var ErrFrame = errors.New("wire: bad frame")

type frame struct {
	typ  frameType
	call Kind
	// id is chosen by the calling end and unique on its connection.
	id uint64
	// logical is the sender's logical time when the frame was written.
	logical uint64
	body    []byte
	// release gives back the memory of the body, unless it is nil. If denied is set, there was
	// none, and the body was not kept.
	release func()
	denied  bool
}

type frameType uint8

// appendFrame appends the encoding of f to b.
func appendFrame(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.body)))
	b = append(b, version, byte(f.typ), byte(f.call))
	b = binary.BigEndian.AppendUint64(b, f.id)
	b = binary.BigEndian.AppendUint64(b, f.logical)
	return append(b, f.body...)
}

// readFrame reads one frame. It returns ErrFrame or an error of r.
func readFrame(r *bufio.Reader) (frame, error) {
	return readFrameWithin(r, MaxRequest, nil)
}

// readFrameWithin is like readFrame, with a limit of the body. It reserves memory for a large
// body, if reserve is set.
func readFrameWithin(r *bufio.Reader, most uint32, reserve func(int64) (func(), bool)) (frame, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	size, limit := binary.BigEndian.Uint32(h[:4]), uint32(MaxBody)
	if frameType(h[5]) == frameOpen {
		limit = MaxRequest
	}
	limit = min(limit, most)
	if size > limit {
		return frame{}, errors.Wrapf(ErrFrame, "body of %d bytes exceeds the limit of %d", size, limit)
	}
	if h[4] != version {
		return frame{}, errors.Wrapf(ErrFrame, "protocol version %d, want %d", h[4], version)
	}
	f := frame{
		typ:     frameType(h[5]),
		call:    Kind(h[6]),
		id:      binary.BigEndian.Uint64(h[7:]),
		logical: binary.BigEndian.Uint64(h[15:]),
	}
	if f.typ < frameHello || f.typ > frameOpen {
		return frame{}, errors.Wrapf(ErrFrame, "unknown frame type %d", f.typ)
	}
	if reserve != nil && size >= reserveThreshold {
		release, ok := reserve(frameCost * int64(size))
		if !ok {
			f.denied = true
			_, err := r.Discard(int(size))
			return f, err
		}
		f.release = release
	}
	var err error
	if f.body, err = readBody(r, int(size)); err != nil {
		f.free()
		return frame{}, err
	}
	return f, nil
}

// readBody reads a body into a buffer that grows as its bytes arrive: the sender must have
// sent a part of a large body before there is memory for all of it.
func readBody(r *bufio.Reader, size int) ([]byte, error) {
	b := make([]byte, min(size, reserveThreshold))
	for read := 0; ; {
		if _, err := io.ReadFull(r, b[read:]); err != nil {
			return nil, err
		}
		if len(b) == size {
			return b, nil
		}
		read = len(b)
		grown := make([]byte, min(size, 16*read))
		copy(grown, b)
		b = grown
	}
}

// free gives back the memory of the body.
func (f *frame) free() {
	if f.release != nil {
		f.release()
	}
}
