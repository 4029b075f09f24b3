package engine

import "strings"

// merger merges consecutive chunks. emit must be set.
type merger struct {
	emit func(Chunk) error
	// first is the chunk that the later ones are merged into; it is valid if
	// pending is set.
	first   Chunk
	pending bool
	// text is the text of the later chunks, which follows that of first.
	text strings.Builder
}

// add merges the next chunk. Chunks of different weight versions are not merged,
// so that each token keeps its version.
func (m *merger) add(c Chunk) error {
	if m.pending && c.Version != m.first.Version && c.Tokens > 0 {
		if err := m.flush(); err != nil {
			return err
		}
	}
	if !m.pending {
		m.first, m.pending = c, true
		return nil
	}
	m.first.Tokens += c.Tokens
	m.first.End = c.End
	m.text.WriteString(c.Text)
	return nil
}

// fail emits the pending chunk and returns err, which ends the stream, or the
// error of emit.
func (m *merger) fail(err error) error {
	if e := m.flush(); e != nil {
		return e
	}
	return err
}

// flush emits the merged chunk.
func (m *merger) flush() error {
	if !m.pending {
		return nil
	}
	c := m.first
	if m.text.Len() > 0 {
		c.Text += m.text.String()
	}
	m.pending = false
	m.text.Reset()
	return m.emit(c)
}
