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

// DroppedLines counts the lines that the logger of NewSampledLogger dropped. The
// zero value is ready to use.
type DroppedLines struct {
	lines atomic.Int64
}

// Count returns the number of dropped lines.
func (d *DroppedLines) Count() int64 {
	return d.lines.Load()
}

// NewSampledLogger returns a logger like that of NewLogger, but drops most lines
// beyond linesPerSecond of a message that is logged more often than that, and
// counts the dropped lines in d.
func NewSampledLogger(w io.Writer, level string, d *DroppedLines) (*zap.Logger, error) {
	l, err := NewLogger(w, level)
	if err != nil {
		return nil, err
	}
	count := func(_ zapcore.Entry, s zapcore.SamplingDecision) {
		if s&zapcore.LogDropped != 0 {
			d.lines.Add(1)
		}
	}
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, linesPerSecond, linesThereafter, zapcore.SamplerHook(count))
	})), nil
}
