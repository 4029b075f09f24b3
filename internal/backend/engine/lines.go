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

// errLineTooLong is returned for a line longer than lineLimit.
var errLineTooLong = errors.New("engine: line too long")

// lineReader reads complete lines. An unterminated last line is not returned.
type lineReader struct {
	reader *bufio.Reader
	// long holds a line that did not fit into the reader's buffer.
	long []byte
}

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, readBuffer)}
}

// hasLine reports whether a complete line is buffered.
func (l *lineReader) hasLine() bool {
	// Peek does not fail for bytes that are already buffered.
	b, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// next returns the next line without its newline, valid until the next call.
func (l *lineReader) next() ([]byte, error) {
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
			return nil, errLineTooLong
		}
	}
}
