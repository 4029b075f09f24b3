package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerSecond is the number of lines with the same message that are
	// written in each second; beyond it, one in linesThereafter is written.
	linesPerSecond  = 40
	linesThereafter = 50
)

// Sampled counts the lines that the logger of NewBoundedLogger dropped. The
// zero value is ready to use.
type Sampled struct {
	lines atomic.Int64
}

// Lines returns the number of dropped lines.
func (s *Sampled) Lines() int64 {
	return s.lines.Load()
}

// NewBoundedLogger returns a logger like that of NewLogger, but drops lines of a
// message that is logged more than linesPerSecond times a second, and counts
// the dropped lines in s.
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
		return zapcore.NewSamplerWithOptions(c, time.Second, linesPerSecond, linesThereafter, zapcore.SamplerHook(count))
	})), nil
}
