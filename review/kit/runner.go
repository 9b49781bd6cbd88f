package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is one runner of a service. It registers in the store and answers streams and whole requests.
type runner struct {
	world   *world
	name    string
	service string
	address string
	slots   int
	// gap is the time between two events of a stream, and work is how long a whole request takes.
	gap  time.Duration
	work time.Duration
	// memory is what the runner keeps its requests in, nil if it never runs out.
	memory *memory
	// deadly reports whether a request crashes the runner after an event.
	deadly func(r *http.Request, event int) bool
	// arrived is called for each request that reaches the runner and is not for another one.
	arrived func(run *run)

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	seq      int
	state    string
	isDown   bool
	beatAt   time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	active   atomic.Int64
}

const (
	promptTokens = 714
	eventTokens  = 4
)

// run is a request at a runner.
type run struct {
	id, runner string
	at         time.Time
	// ended is when the runner stopped working on it, and whole whether it answered it in full.
	ended time.Time
	whole bool
}

// start begins a new incarnation of the runner and registers it.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	r.id, r.born, r.seq = fmt.Sprintf("i-%s-%d", r.name, r.starts), time.Now().UnixMilli(), 0
	r.state, r.isDown, r.listener, r.conns = "ready", false, l, map[net.Conn]bool{}
	id := r.id
	r.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.answer(w, q, id) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if s == http.StateClosed {
				delete(r.conns, c)
			} else {
				r.conns[c] = true
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
			case <-r.world.stop:
				return
			}
			r.mu.Lock()
			over := r.isDown || r.id != id
			r.mu.Unlock()
			if over {
				return
			}
			r.beat()
		}
	}()
	return nil
}

// beat writes the runner's registration.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	spec := map[string]any{
		"service": r.service, "addr": r.address, "zone": "a", "version": "v1", "slots": r.slots, "state": r.state,
		"coldLeftMs": 0, "seq": r.seq, "born": r.born,
	}
	id := r.id
	r.beatAt = time.Now()
	r.mu.Unlock()
	r.world.store.put("servers", id, spec)
}

// drain reports that the runner leaves; it goes on serving.
func (r *runner) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
}

// crash resets all connections of the runner; its registration lapses after three heartbeats, and it starts anew after some
// seconds.
func (r *runner) crash(back time.Duration) {
	r.mu.Lock()
	if r.isDown {
		r.mu.Unlock()
		return
	}
	r.isDown = true
	id, lapse := r.id, time.Until(r.beatAt.Add(3*heartbeat))
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(lapse, func() { r.world.store.remove("servers", id) })
	time.AfterFunc(back, func() {
		if err := r.start(); err != nil {
			r.world.record.say("runner %s did not come back: %v", r.name, err)
		}
	})
}

func (r *runner) answer(w http.ResponseWriter, q *http.Request, id string) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	if strings.HasPrefix(q.URL.Path, "/kingcupstile/") {
		send(w, http.StatusOK, map[string]any{"phase": "both", "active": r.active.Load(), "pace": 1})
		return
	}
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	r.sayLeaving(w)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if r.active.Add(1) > int64(r.slots) {
		r.active.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.active.Add(-1)
	x := &run{id: q.Header.Get("X-Request-Id"), runner: id, at: time.Now()}
	if r.arrived != nil {
		r.arrived(x)
	}
	defer func() { x.ended = time.Now() }()
	w.Header().Set("X-Server-Seal", "3e1b.07.5a2."+id)
	if strings.HasPrefix(q.URL.Path, "/draft/") {
		x.whole = r.stream(w, q)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	r.sayLeaving(w)
	text := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	x.whole = true
}

// sayLeaving says in an answer that the runner leaves, if it does.
func (r *runner) sayLeaving(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
}

// stream answers with events and reports whether all were sent.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	_, output, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	events := tokens / eventTokens
	var kept *sequence
	if r.memory != nil {
		kept = r.memory.add(promptTokens + after*eventTokens)
		defer r.memory.remove(kept)
	}
	for n := after + 1; n <= events; n++ {
		if kept != nil && !r.memory.await(q.Context(), kept) {
			return false
		}
		wait := r.gap
		if n == after+1 {
			wait = 2 * r.gap
		}
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return false
		}
		if kept != nil {
			r.memory.grow(kept, eventTokens)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", 48))
		if control.Flush() != nil {
			return false
		}
		if r.deadly != nil && r.deadly(q, n) {
			// The event is on its way before the process is gone.
			time.Sleep(5 * time.Millisecond)
			r.crash(3 * time.Second)
			return false
		}
	}
	return true
}
