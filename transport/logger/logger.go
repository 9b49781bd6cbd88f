package logger

import (
	"io"
	"log/slog"
)

// Level returns the level named debug, info, warn or error; any other word gives info.
func Level(word string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(word)); err != nil {
		l = slog.LevelInfo
	}
	return l
}

// New returns a logger that writes JSON lines to w; level may change while the logger is in use.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
