package commander

import (
	"io"
	"log/slog"
	"os"

	"github.com/go-faster/errors"
)

// newLogger writes one JSON line an event.
func newLogger(out io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}

// fileLogger logs to a file, or nowhere if the name is empty.
func fileLogger(name string) (*slog.Logger, func(), error) {
	if name == "" {
		return slog.New(slog.DiscardHandler), func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create log file")
	}
	return newLogger(file, slog.LevelDebug), func() { _ = file.Close() }, nil
}
