package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// lineLimit bounds one chunk of a stream, in bytes.
	lineLimit = 1 << 20
	// readBuffer is the size of the read buffer of a stream, in bytes.
	readBuffer = 4 << 10
)

// errLine says that a line is longer than lineLimit.
var errLine = errors.New("engine: line too long")

// lines reads whole lines. An unfinished last line is not given.
type lines struct {
	reader *bufio.Reader
	// long holds a line that did not fit the reader's buffer.
	long []byte
}

func newLines(r io.Reader) *lines {
	return &lines{reader: bufio.NewReaderSize(r, readBuffer)}
}

// buffered reports whether a whole line is there without reading.
func (l *lines) buffered() bool {
	// Peek of what is buffered does not fail.
	b, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// next returns the next line without its end, valid until the next call.
func (l *lines) next() ([]byte, error) {
	l.long = l.long[:0]
	for {
		b, err := l.reader.ReadSlice('\n')
		if err == nil && len(l.long) == 0 {
			return b[:len(b)-1], nil
		}
		l.long = append(l.long, b...)
		switch {
		case err == nil:
			return l.long[:len(l.long)-1], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(l.long) > lineLimit:
			return nil, errLine
		}
	}
}
