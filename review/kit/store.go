package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of objects in one page of a listing.
const pageSize = 500

// calm is how long the store takes to answer a call in calm times.
const calm = 4 * time.Millisecond

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deletion   bool     `json:"deletion"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	at      time.Time
	kind    string
	removed bool
	object  object
}

// store is the platform's store. It answers at one address for each entry, so that it knows who calls.
type store struct {
	mu      sync.Mutex
	rev     uint64
	oldest  uint64
	history []change
	changed chan struct{}
	// cut ends the watches that wait.
	cut chan struct{}
	// delay is how long each answer takes, and behind how old the data is that serializable listings return.
	delay, behind time.Duration
	// told is called with each state of a server that an answer gave to the entry with the number door.
	told func(door int, name, state string, removed bool)
}

func newStore() *store {
	return &store{rev: 100, changed: make(chan struct{}), cut: make(chan struct{}), delay: calm}
}

// serve answers the calls of the entry with the number door until the listener is closed.
func (s *store) serve(l net.Listener, door int) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, door) })}
	go func() { _ = server.Serve(l) }()
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// put writes an object, and remove deletes one, as the operator and the runners do.
func (s *store) put(kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.rev++
	o := object{Metadata: metadata{Name: name, Rev: s.rev, Created: s.rev, Finalizers: []string{}}, Spec: spec}
	if old, found := s.now(kind)[name]; found {
		o.Metadata.Created = old.Metadata.Created
	}
	s.append(change{kind: kind, object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.now(kind)[name]; found {
		s.rev++
		o.Metadata.Rev = s.rev
		s.append(change{kind: kind, removed: true, object: o})
	}
}

func (s *store) append(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// asOf returns the objects of a kind and the revision as they were at a time.
func (s *store) asOf(kind string, at time.Time) (map[string]object, uint64) {
	objects, rev := map[string]object{}, uint64(100)
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		rev = c.object.Metadata.Rev
		if c.kind != kind {
			continue
		}
		if c.removed {
			delete(objects, c.object.Metadata.Name)
		} else {
			objects[c.object.Metadata.Name] = c.object
		}
	}
	return objects, rev
}

func (s *store) now(kind string) map[string]object {
	objects, _ := s.asOf(kind, time.Now().Add(time.Hour))
	return objects
}

// forget drops the history of changes and cuts the watches that wait.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.rev
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, r *http.Request, door int) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	path := strings.TrimPrefix(r.URL.Path, "/kingcupstile/objects/")
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind, door)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"), query.Get("serializable") == "1", door)
	default:
		s.single(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string, stale bool, door int) {
	s.mu.Lock()
	at := time.Now().Add(time.Hour)
	if stale && s.behind > 0 {
		at = time.Now().Add(-s.behind)
	}
	objects, rev := s.asOf(kind, at)
	if !stale || s.behind == 0 {
		rev = s.rev
	}
	s.mu.Unlock()
	entries, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(entries) == pageSize {
			more = true
			break
		}
		entries = append(entries, objects[name])
	}
	send(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": more, "asOf": rev})
	for _, o := range entries {
		s.tell(door, kind, o, false)
	}
}

func (s *store) tell(door int, kind string, o object, removed bool) {
	if s.told == nil || kind != "servers" {
		return
	}
	var spec struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(o.Spec, &spec)
	s.told(door, o.Metadata.Name, spec.State, removed)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, door int) {
	type event struct {
		Removed bool   `json:"removed"`
		Object  object `json:"object"`
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, rev, changed, gone := []event{}, s.rev, s.changed, after < s.oldest
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Rev > after {
				events = append(events, event{Removed: c.removed, Object: c.object})
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			send(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			for _, e := range events {
				s.tell(door, kind, e.Object, e.Removed)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-cut:
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name == "" {
			name = o.Metadata.Name
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, found := s.now(kind)[name]
	switch {
	case r.Method == http.MethodPost && found, o.Metadata.Rev != 0 && found && o.Metadata.Rev != stored.Metadata.Rev:
		send(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		send(w, http.StatusOK, s.write(kind, name, o.Spec))
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		send(w, http.StatusOK, s.write(kind, name, o.Spec))
	case r.Method == http.MethodDelete:
		s.rev++
		stored.Metadata.Rev = s.rev
		s.append(change{kind: kind, removed: true, object: stored})
		send(w, http.StatusOK, stored)
	default:
		send(w, http.StatusOK, stored)
	}
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
