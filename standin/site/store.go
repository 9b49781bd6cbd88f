package site

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is how many objects one answer holds at most.
const pageSize = 50

// Object is one object of the store.
type Object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	kind    string
	removed bool
	object  Object
}

// Store is the platform's store.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	oldest  uint64
	kinds   map[string]map[string]Object
	history []change
	wake    chan struct{}
	refuse  int
	silent  bool
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, kinds: map[string]map[string]Object{}, wake: make(chan struct{})}
}

// Refuse has the store answer all calls with a status, or as usual if that is 0.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = status
}

// Silence has the store give no answer, or as usual again.
func (s *Store) Silence(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = yes
}

// Calls returns how many calls there were.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.rev
	s.notify()
}

// Put writes an object's spec as the operator or a runner does.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		text = []byte("null")
	}
	s.PutRaw(kind, name, text)
}

// PutRaw writes an object's spec as it is.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.rev++
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Metadata.Rev, o.Spec = name, s.rev, spec
	o.Metadata.Created = cmp.Or(o.Metadata.Created, s.rev)
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind: kind, object: o})
	s.notify()
	return o
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, there := s.kinds[kind][name]
	if !there {
		return
	}
	s.rev++
	o.Metadata.Rev = s.rev
	delete(s.kinds[kind], name)
	s.history = append(s.history, change{kind: kind, removed: true, object: o})
	s.notify()
}

// Names returns the names of a kind's objects in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *Store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	refuse, silent := s.refuse, s.silent
	s.mu.Unlock()
	path, ok := strings.CutPrefix(r.URL.Path, "/kingcupstile/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case silent:
		// The server notices that a caller has left only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case refuse != 0:
		w.WriteHeader(refuse)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && !named && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	default:
		s.one(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	names := s.Names(kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Entries []Object `json:"entries"`
		HasMore bool     `json:"hasMore"`
		AsOf    uint64   `json:"asOf"`
	}{Entries: []Object{}, AsOf: s.rev}
	for _, name := range names {
		if name <= after {
			continue
		}
		if len(page.Entries) == pageSize {
			page.HasMore = true
			break
		}
		page.Entries = append(page.Entries, s.kinds[kind][name])
	}
	send(w, http.StatusOK, page)
}

// event is one change as a watch tells it.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, failed := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || failed != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		events, rev, gone, wake := s.since(kind, since)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			send(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what happened after a revision, and whether that was forgotten.
func (s *Store) since(kind string, rev uint64) ([]event, uint64, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Rev > rev {
			events = append(events, event{Removed: c.removed, Object: c.object})
		}
	}
	return events, s.rev, rev < s.oldest, s.wake
}

func (s *Store) one(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		name = cmp.Or(name, o.Metadata.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, there := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && there, o.Metadata.Rev != 0 && o.Metadata.Rev != held.Metadata.Rev:
		send(w, http.StatusConflict, held)
	case r.Method == http.MethodPost:
		send(w, http.StatusOK, s.put(kind, name, o.Spec))
	case !there:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		send(w, http.StatusOK, s.put(kind, name, o.Spec))
	case r.Method == http.MethodDelete:
		s.rev++
		delete(s.kinds[kind], name)
		held.Metadata.Rev = s.rev
		s.history = append(s.history, change{kind: kind, removed: true, object: held})
		s.notify()
		send(w, http.StatusOK, held)
	default:
		send(w, http.StatusOK, held)
	}
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
