package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// lineBudget is the number of lines of one message that are written in a
	// second; beyond it, one in lineShare is.
	lineBudget = 40
	lineShare  = 50
)

// Sampled counts the lines that a bounded logger left out. The zero value has
// counted none.
type Sampled struct {
	lines atomic.Int64
}

// Lines returns the number of lines left out.
func (s *Sampled) Lines() int64 {
	return s.lines.Load()
}

// NewBoundedLogger returns a logger like NewLogger that leaves out lines of a
// message that comes more often than its budget, and counts them.
func NewBoundedLogger(w io.Writer, level string, s *Sampled) (*zap.Logger, error) {
	l, err := NewLogger(w, level)
	if err != nil {
		return nil, err
	}
	count := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			s.lines.Add(1)
		}
	}
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, lineBudget, lineShare, zapcore.SamplerHook(count))
	})), nil
}
