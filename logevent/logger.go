package logevent

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// summaryLogger is the name under which summaries are checked; it is not written.
const summaryLogger = "summary"

// Logger writes events. It is safe for concurrent use. A nil Logger writes
// nothing.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes the events at or above level to w as JSON
// lines. The levels are debug, info, warn and error.
func New(w io.Writer, level string) (*Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q; accepted: debug, info, warn or error", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey, config.NameKey = "time", "message", zapcore.OmitKey
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	sink := zapcore.Lock(zapcore.AddSync(w))
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, minLevel)
	return &Logger{zap: zap.New(core)}, nil
}

// With returns a logger that adds fields to each event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{zap: l.zap.With(fields...)}
}

// Log writes an event with its number, name, level and message and the given
// fields. A number without a row in Table is written at level error under the
// name Unknown.
func (l *Logger) Log(n Number, fields ...zap.Field) {
	if l == nil {
		return
	}
	info, ok := Lookup(n)
	if !ok {
		info = Info{Number: n, Name: "Unknown", Level: zapcore.ErrorLevel, Message: "event is not in the table"}
	}
	logger := l.zap
	if summaries[n] {
		logger = logger.Named(summaryLogger)
	}
	entry := logger.Check(info.Level, info.Message)
	if entry == nil {
		return
	}
	all := make([]zap.Field, 0, len(fields)+2)
	all = append(all, zap.Int("event", int(n)), zap.String("name", info.Name))
	entry.Write(append(all, fields...)...)
}

// Sync flushes buffered events.
func (l *Logger) Sync() error {
	if l == nil {
		return nil
	}
	return l.zap.Sync()
}
