package settings

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

const (
	// root is the place of the document itself.
	root = ""
	// firstLine is the line of a key that an empty file does not have.
	firstLine = 1
)

// document is a decoded file together with the lines of its keys.
type document struct {
	file     string
	settings Settings
	// lines gives the line of each place that the file names.
	lines map[string]int
}

// decode reads YAML strictly. It walks the nodes itself because the library
// names neither the line of a bad address nor the key.
func decode(file string, content []byte) (*document, error) {
	d := &document{file: file, settings: Default(), lines: make(map[string]int)}
	n, err := parse(content)
	if err != nil {
		return nil, &Error{Kind: ErrFile, File: file, Text: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if n == nil {
		return d, nil
	}
	if err := d.value(n, reflect.ValueOf(&d.settings).Elem(), root); err != nil {
		return nil, err
	}
	return d, nil
}

// fault returns an error at a place, with the line of the place or of the
// nearest one around it.
func (d *document) fault(kind error, place, text string) error {
	line, p := 0, place
	for line = d.lines[p]; line == 0 && p != root; line = d.lines[p] {
		p = outer(p)
	}
	return &Error{Kind: kind, File: d.file, Line: max(line, firstLine), Place: place, Text: text}
}

func (d *document) mapping(n *yaml.Node, v reflect.Value, place string) error {
	if n.Kind != yaml.MappingNode {
		return d.fault(ErrInvalid, place, "keys expected")
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		p := join(place, k.Value)
		if _, ok := d.lines[p]; ok {
			return &Error{Kind: ErrOverlap, File: d.file, Line: k.Line, Place: p}
		}
		d.lines[p] = k.Line
		f, ok := field(v, k.Value)
		if !ok {
			return d.fault(ErrUnknownKey, p, "")
		}
		if err := d.value(n.Content[i+1], f, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) sequence(n *yaml.Node, v reflect.Value, place string) error {
	if n.Kind != yaml.SequenceNode {
		return d.fault(ErrInvalid, place, "a list expected")
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		if err := d.value(c, v.Index(i), fmt.Sprintf("%s[%d]", place, i)); err != nil {
			return err
		}
	}
	return nil
}

// value sets v from n.
func (d *document) value(n *yaml.Node, v reflect.Value, place string) error {
	if _, ok := d.lines[place]; !ok {
		d.lines[place] = n.Line
	}
	if n.Tag == "!!null" {
		return nil
	}
	switch {
	case v.Kind() == reflect.Slice:
		return d.sequence(n, v, place)
	case v.Kind() == reflect.Struct && strings.HasPrefix(v.Type().PkgPath(), reflect.TypeFor[Settings]().PkgPath()):
		return d.mapping(n, v, place)
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return d.fault(ErrInvalid, place, n.Value)
	}
	return nil
}

// field returns the field of a struct that a key names.
func field(v reflect.Value, key string) (reflect.Value, bool) {
	f, ok := v.Type().FieldByName(key)
	if !ok {
		return reflect.Value{}, false
	}
	return v.FieldByIndex(f.Index), true
}

func join(place, key string) string {
	if place == root {
		return key
	}
	return place + "." + key
}

// outer returns the place that holds a place.
func outer(place string) string {
	return place[:max(strings.LastIndexAny(place, ".["), 0)]
}

// parse returns the only document of content, nil when it is empty.
func parse(content []byte) (*yaml.Node, error) {
	var n yaml.Node
	r := yaml.NewDecoder(bytes.NewReader(content))
	if err := r.Decode(&n); errors.Is(err, io.EOF) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	if err := r.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one document")
	}
	if n.Kind == yaml.DocumentNode {
		return n.Content[0], nil
	}
	return &n, nil
}
