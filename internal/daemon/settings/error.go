package settings

import (
	"fmt"

	"github.com/pkg/errors"
)

// Sentinels for errors.Is. Every *Error wraps exactly one of them.
var (
	// ErrFile says that the file cannot be read or is not YAML.
	ErrFile = errors.New("unreadable file")
	// ErrInvalid says that a value is missing or out of range.
	ErrInvalid = errors.New("invalid value")
	// ErrOverlap says that a name or an address is used twice.
	ErrOverlap = errors.New("used twice")
	// ErrUnknownKey says that the file has a key that means nothing.
	ErrUnknownKey = errors.New("unknown key")
)

// Error is a fault in a settings file.
type Error struct {
	// Kind is one of the sentinels of this package.
	Kind error
	File string
	// Line counts from 1; 0 is the file as a whole.
	Line int
	// Place is the path of the key, for example "Listen.Callers".
	Place string
	Text  string
}

// Error returns the file, the line, the place and what is wrong there.
func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Place != "" {
		s += ": " + e.Place
	}
	s += ": " + e.Kind.Error()
	if e.Text != "" {
		s += ": " + e.Text
	}
	return s
}

// Unwrap returns the sentinel.
func (e *Error) Unwrap() error {
	return e.Kind
}
