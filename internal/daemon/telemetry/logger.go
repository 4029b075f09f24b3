package telemetry

import (
	"io"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

// ErrLevel is returned when a log level is unknown.
var ErrLevel = errors.New("telemetry: unknown log level")

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(ErrLevel, "%q", level)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.LevelKey, c.MessageKey = "At", "Level", "Message"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(plainErrors{Core: core}), nil
}

// plainErrors is a core that logs errors as text without their stack traces,
// under the field name Error.
type plainErrors struct {
	zapcore.Core
}

// Check implements zapcore.Core.
func (p plainErrors) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(e.Level) {
		return c.AddCore(e, p)
	}
	return c
}

// With implements zapcore.Core.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{Core: p.Core.With(plainFields(fields))}
}

// Write implements zapcore.Core.
func (p plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(e, plainFields(fields))
}

func plainFields(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String("Error", err.Error())
		}
		out = append(out, f)
	}
	return out
}

// Cause returns the log field for the cause of a refusal, or an empty field if
// err is not a refusal or has no cause.
func Cause(err error) zap.Field {
	var e *refusal.Error
	if errors.As(err, &e) && e.Cause != nil {
		return zap.String("Cause", e.Cause.Error())
	}
	return zap.Skip()
}

// Epoch returns the log field for the epoch of a lease.
func Epoch(e fleet.Epoch) zap.Field {
	return zap.Uint64("Epoch", uint64(e))
}

// Request returns the log field for the ID of a request.
func Request(id fleet.RequestID) zap.Field {
	return zap.String("Request", string(id))
}

// Workspace returns the log field for a workspace.
func Workspace(w fleet.Workspace) zap.Field {
	return zap.String("Workspace", string(w))
}
