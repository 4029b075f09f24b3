package backend

import (
	"io"

	"github.com/pkg/errors"
)

// ReadBody reads a response's body to its end. Its errors wrap ErrIncomplete, also if the
// body is longer than limit bytes: a faulty server may send bytes without end.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrapf(ErrIncomplete, "after %d bytes: %v", len(b), err)
	}
	if int64(len(b)) > limit {
		return nil, errors.Wrapf(ErrIncomplete, "body exceeds %d bytes", limit)
	}
	return b, nil
}

// DiscardBody reads a response's body to its end, like ReadBody, and drops it.
func DiscardBody(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err != nil {
		return errors.Wrapf(ErrIncomplete, "after %d bytes: %v", n, err)
	}
	if n > limit {
		return errors.Wrapf(ErrIncomplete, "body exceeds %d bytes", limit)
	}
	return nil
}
