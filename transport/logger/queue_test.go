package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/transport/logger"
)

// blockedWriter is an output that blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

// TestLoggingNeverBlocks checks that logging goes on and drops lines while the output is blocked, and that what is
// queued and the number of dropped lines are written once the output takes writes again.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := logger.NewQueue(out)
	log := logger.New(q, logger.Level("info"))
	began := time.Now()
	const lines = 20000
	for range lines {
		log.Info("request concluded", "request", "r-1")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	if q.Dropped() < lines/2 {
		t.Errorf("%d lines left out", q.Dropped())
	}
	close(out.release)
	q.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), "lines left out") || strings.Count(out.text.String(), "request concluded") < 500 {
		t.Errorf("got %d bytes", out.text.Len())
	}
}
