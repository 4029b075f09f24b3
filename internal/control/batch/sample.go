package batch

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Errors of adding a chunk to a sample.
var (
	// ErrOffset says that a chunk does not follow the last one.
	ErrOffset = errors.New("batch: chunk out of order")
	// ErrUnversioned says that the engine named no weight version.
	ErrUnversioned = errors.New("batch: chunk names no weight version")
)

// maxSamples bounds the samples of a group.
const maxSamples = 1024

// Sample is one answer to a group's prompt.
type Sample struct {
	ID    SampleID
	Group GroupID
	Text  string
	// Segments name, in order, the weight versions that made the tokens, as
	// the engines named them with each chunk. Neighbours differ.
	Segments []Segment
}

// SampleID identifies a sample of one trainer. A sample that is generated
// again has another one.
type SampleID string

// Segment is a run of tokens that one weight version generated.
type Segment struct {
	Version fleet.WeightVersion
	Tokens  int
}

// NewSampleID returns the ID of a group's sample in one round, after so many
// restarts of the sample.
func NewSampleID(g GroupID, round, restart, index int) SampleID {
	return SampleID(fmt.Sprintf("%s/%d/%d/%d", g, round, restart, index))
}

// Append adds a chunk. Its errors are ErrOffset and ErrUnversioned; after one
// the sample must be discarded, for its versions are not known.
func (s *Sample) Append(c engine.Chunk) error {
	if c.Tokens == 0 && c.Text == "" {
		return nil
	}
	if c.Version == 0 {
		return ErrUnversioned
	}
	if c.Offset != s.Tokens() {
		return ErrOffset
	}
	s.Text += c.Text
	if n := len(s.Segments); n > 0 && s.Segments[n-1].Version == c.Version {
		s.Segments[n-1].Tokens += c.Tokens
		return nil
	}
	s.Segments = append(s.Segments, Segment{Version: c.Version, Tokens: c.Tokens})
	return nil
}

// Newest returns the newest weight version that made the sample, 0 for none.
func (s *Sample) Newest() fleet.WeightVersion {
	var v fleet.WeightVersion
	for _, g := range s.Segments {
		v = max(v, g.Version)
	}
	return v
}

// Oldest returns the oldest weight version that made the sample, 0 for none.
func (s *Sample) Oldest() fleet.WeightVersion {
	var v fleet.WeightVersion
	for _, g := range s.Segments {
		if v == 0 || g.Version < v {
			v = g.Version
		}
	}
	return v
}

// Tokens returns the number of tokens.
func (s *Sample) Tokens() int {
	n := 0
	for _, g := range s.Segments {
		n += g.Tokens
	}
	return n
}
