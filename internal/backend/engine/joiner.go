package engine

import "strings"

// joiner joins chunks that follow each other. The zero value needs emit.
type joiner struct {
	emit func(Chunk) error
	// first is the chunk that the others are joined to, if any is set.
	first Chunk
	any   bool
	// text follows the text of first.
	text strings.Builder
}

// add takes the next chunk. Chunks of different weight versions are not joined,
// so that each token keeps its own.
func (j *joiner) add(c Chunk) error {
	if j.any && c.Version != j.first.Version && c.Tokens > 0 {
		if err := j.flush(); err != nil {
			return err
		}
	}
	if !j.any {
		j.first, j.any = c, true
		return nil
	}
	j.first.Tokens += c.Tokens
	j.first.End = c.End
	j.text.WriteString(c.Text)
	return nil
}

// fail gives on what is whole before an error ends the stream.
func (j *joiner) fail(err error) error {
	if e := j.flush(); e != nil {
		return e
	}
	return err
}

// flush gives the joined chunk on.
func (j *joiner) flush() error {
	if !j.any {
		return nil
	}
	c := j.first
	if j.text.Len() > 0 {
		c.Text += j.text.String()
	}
	j.any = false
	j.text.Reset()
	return j.emit(c)
}
