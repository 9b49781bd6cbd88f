//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// streamer is a model runner that answers each request with a stream of events with increasing identifiers.
type streamer struct {
	w        *world
	name, ip string
	// first is the identifier of the first event; events is how many there are, and interval the time between two.
	first, events int
	interval      time.Duration

	mu          sync.Mutex
	starts      int
	address     string
	listener    net.Listener
	connections map[net.Conn]bool
}

// start starts the runner as a new incarnation, and registers it in the store.
func (s *streamer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.ip + ":0"
	if s.address != "" {
		address = s.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.address, s.listener, s.connections = l.Addr().String(), l, map[net.Conn]bool{}
	id := s.id()
	server := &http.Server{Handler: s.handler(id), ConnState: s.track}
	go func() { _ = server.Serve(l) }()
	s.w.store.Put("servers", id, registration(modelService, s.address, 12, "ready", time.Now(), 0))
	s.w.note("runner %s starts", id)
	return nil
}

func (s *streamer) id() string { return fmt.Sprintf("i-%s-%d", s.name, s.starts) }

func (s *streamer) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.connections, c)
	} else {
		s.connections[c] = true
	}
}

// crash ends the runner: its connections are reset, and its registration is removed.
func (s *streamer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.connections {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.w.note("runner %s crashes with %d connections", s.id(), len(s.connections))
	s.w.store.Remove("servers", s.id())
}

func (s *streamer) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h := w.Header()
		h.Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			h.Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next := s.first
		if text := q.Header.Get("Last-Event-Id"); text != "" {
			last, err := strconv.Atoi(text)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			next = last + 1
		}
		s.w.note("runner %s runs %s from event %d", id, q.Header.Get("X-Request-Id"), next)
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Server-Seal", "3e1b."+id)
		h.Set("X-Weight-Versions", "1")
		for ; next < s.first+s.events; next++ {
			select {
			case <-time.After(s.interval):
			case <-q.Context().Done():
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", next, next); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	})
}
