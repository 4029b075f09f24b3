package telemetry

import (
	"io"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// ErrLevel says that a log level is unknown.
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
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), l)), nil
}

// Epoch is the log field of a lease's epoch.
func Epoch(e fleet.Epoch) zap.Field {
	return zap.Uint64("Epoch", uint64(e))
}

// Request is the log field of a request's ID.
func Request(id fleet.RequestID) zap.Field {
	return zap.String("Request", string(id))
}

// Workspace is the log field of a workspace.
func Workspace(w fleet.Workspace) zap.Field {
	return zap.String("Workspace", string(w))
}
