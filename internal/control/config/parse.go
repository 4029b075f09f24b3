package config

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// indent is the number of spaces per level of a document.
const indent = 2

// Marshal returns the document as YAML.
func Marshal(c Config) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(indent)
	if err := e.Encode(c); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if err := e.Close(); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return b.Bytes(), nil
}

// Parse decodes and validates one document. An unknown or duplicate field or a
// value of the wrong type is an error that contains the line. Its errors wrap
// ErrInvalid.
func Parse(b []byte) (Config, error) {
	c, err := Decode(b)
	if err != nil {
		return Config{}, err
	}
	return c, c.Validate()
}

// Decode decodes one document without validating it: a revision accepted by an
// earlier version of the program must stay readable.
func Decode(b []byte) (Config, error) {
	var c Config
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&c); err != nil && !errors.Is(err, io.EOF) {
		return Config{}, errors.Wrap(ErrInvalid, err.Error())
	}
	var more any
	if err := d.Decode(&more); !errors.Is(err, io.EOF) {
		return Config{}, errors.Wrap(ErrInvalid, "more than one document")
	}
	return c, nil
}
