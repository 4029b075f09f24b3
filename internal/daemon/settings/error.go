package settings

import (
	"fmt"

	"github.com/pkg/errors"
)

// Sentinels for errors.Is. Every *Error wraps exactly one of them.
var (
	// ErrFile is returned when the file, or a file that it refers to, cannot be
	// read or when it is not YAML.
	ErrFile = errors.New("unreadable file")
	// ErrInvalid is returned when a value is missing or out of range.
	ErrInvalid = errors.New("invalid value")
	// ErrDuplicate is returned when a key, a name or an address is used twice.
	ErrDuplicate = errors.New("used twice")
	// ErrUnknownKey is returned when the file contains an unknown key.
	ErrUnknownKey = errors.New("unknown key")
)

// Error reports an error in a settings file.
type Error struct {
	// Kind is one of the sentinels of this package.
	Kind error
	File string
	// Line counts from 1; 0 means that the error concerns the whole file.
	Line int
	// Path is the path of the key, for example "Listen.Callers".
	Path string
	Text string
}

// Error returns a message with the file, the line, the path and the fault.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Path != "" {
		s += ": " + e.Path
	}
	s += ": " + e.Kind.Error()
	if e.Text != "" {
		s += ": " + e.Text
	}
	return s
}

// Unwrap returns Kind.
func (e *Error) Unwrap() error {
	return e.Kind
}
