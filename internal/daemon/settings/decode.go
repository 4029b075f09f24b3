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
	// rootPath is the path of the document itself.
	rootPath = ""
	// firstLine is the line reported for keys that are missing from an empty
	// file.
	firstLine = 1
)

// document is a decoded file with the line numbers of its keys.
type document struct {
	file     string
	settings Settings
	// lines holds the line number of each path that occurs in the file.
	lines map[string]int
}

// decode decodes YAML strictly. It walks the nodes itself because the errors of
// the library contain neither the line nor the key of an invalid address.
func decode(file string, content []byte) (*document, error) {
	d := &document{file: file, settings: Default(), lines: make(map[string]int)}
	n, err := parse(content)
	if err != nil {
		return nil, &Error{Kind: ErrFile, File: file, Text: strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if n == nil {
		return d, nil
	}
	if err := d.value(n, reflect.ValueOf(&d.settings).Elem(), rootPath); err != nil {
		return nil, err
	}
	return d, nil
}

// errorAt returns an error for a path, with the line of the path or of its
// nearest ancestor in the file.
func (d *document) errorAt(kind error, path, text string) error {
	line, p := 0, path
	for line = d.lines[p]; line == 0 && p != rootPath; line = d.lines[p] {
		p = parentPath(p)
	}
	return &Error{Kind: kind, File: d.file, Line: max(line, firstLine), Path: path, Text: text}
}

func (d *document) mapping(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.MappingNode {
		return d.errorAt(ErrInvalid, path, "mapping expected")
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		p := joinPath(path, k.Value)
		if _, ok := d.lines[p]; ok {
			return &Error{Kind: ErrDuplicate, File: d.file, Line: k.Line, Path: p}
		}
		d.lines[p] = k.Line
		f, ok := field(v, k.Value)
		if !ok {
			return d.errorAt(ErrUnknownKey, p, "")
		}
		if err := d.value(n.Content[i+1], f, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) sequence(n *yaml.Node, v reflect.Value, path string) error {
	if n.Kind != yaml.SequenceNode {
		return d.errorAt(ErrInvalid, path, "list expected")
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		if err := d.value(c, v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// value decodes n into v.
func (d *document) value(n *yaml.Node, v reflect.Value, path string) error {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = n.Line
	}
	if n.Tag == "!!null" {
		return nil
	}
	switch {
	case v.Kind() == reflect.Slice:
		return d.sequence(n, v, path)
	case v.Kind() == reflect.Struct && strings.HasPrefix(v.Type().PkgPath(), reflect.TypeFor[Settings]().PkgPath()):
		return d.mapping(n, v, path)
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return d.errorAt(ErrInvalid, path, n.Value)
	}
	return nil
}

// field returns the field of a struct with the name key.
func field(v reflect.Value, key string) (reflect.Value, bool) {
	f, ok := v.Type().FieldByName(key)
	if !ok {
		return reflect.Value{}, false
	}
	return v.FieldByIndex(f.Index), true
}

func joinPath(path, key string) string {
	if path == rootPath {
		return key
	}
	return path + "." + key
}

// parentPath returns the path of the mapping or list that contains path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// parse returns the single YAML document in content, or nil if content is empty.
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
