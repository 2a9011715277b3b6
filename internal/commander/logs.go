package commander

import (
	"io"
	"log/slog"
	"os"

	"github.com/go-faster/errors"
)

// newLogger returns a logger that writes one line of JSON per record.
func newLogger(out io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}

// fileLogger returns a logger that writes to the named file and a function that closes the file. If the
// name is empty, the logger discards all records.
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
