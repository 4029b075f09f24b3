package batch

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Errors of adding a chunk to a sample.
var (
	// ErrOffset is returned when a chunk does not follow the previous one.
	ErrOffset = errors.New("batch: chunk out of order")
	// ErrUnversioned is returned when a chunk has no weight version.
	ErrUnversioned = errors.New("batch: chunk has no weight version")
)

// maxSamples bounds the samples of a group.
const maxSamples = 1024

// Sample is one generated completion of a group's prompt.
type Sample struct {
	ID    SampleID
	Group GroupID
	Text  string
	// Segments list, in order, the weight versions that generated the tokens,
	// as reported by the engines with each chunk. Adjacent segments have
	// different versions.
	Segments []Segment
}

// SampleID identifies a sample within one trainer. A sample that is generated
// again gets a new ID.
type SampleID string

// Segment is a sequence of tokens that one weight version generated.
type Segment struct {
	Version fleet.WeightVersion
	Tokens  int
}

// NewSampleID returns the ID of a group's sample in one round, after the given
// number of restarts of the sample.
func NewSampleID(g GroupID, round, restart, index int) SampleID {
	return SampleID(fmt.Sprintf("%s/%d/%d/%d", g, round, restart, index))
}

// Append adds a chunk. It returns ErrOffset or ErrUnversioned for an invalid
// chunk; the sample must then be discarded, because its versions are not known.
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

// Newest returns the newest weight version in the sample, 0 if it has no tokens.
func (s *Sample) Newest() fleet.WeightVersion {
	var v fleet.WeightVersion
	for _, g := range s.Segments {
		v = max(v, g.Version)
	}
	return v
}

// Oldest returns the oldest weight version in the sample, 0 if it has no tokens.
func (s *Sample) Oldest() fleet.WeightVersion {
	var v fleet.WeightVersion
	for _, g := range s.Segments {
		if v == 0 || g.Version < v {
			v = g.Version
		}
	}
	return v
}

// Tokens returns the number of tokens in the sample.
func (s *Sample) Tokens() int {
	n := 0
	for _, g := range s.Segments {
		n += g.Tokens
	}
	return n
}
