package logger

import (
	"io"
	"log/slog"
)

// Level returns the level of a word out of debug, info, warn and error; any other word means info.
func Level(word string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(word)); err != nil {
		l = slog.LevelInfo
	}
	return l
}

// New returns a JSON logger to w at a level, which may change.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
