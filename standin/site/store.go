package site

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the maximum number of objects in one answer to a list call.
const pageSize = 50

// Object is an object as the platform encodes it: its metadata, and its spec and status unparsed.
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

// change is an entry of the history that watch calls are answered from.
type change struct {
	kind    string
	removed bool
	object  Object
}

// headerEra is the header in which the store says how often it was restored.
const headerEra = "Store-Era"

// Store is an in-memory fake of the platform's object store, served over HTTP.
type Store struct {
	mu  sync.Mutex
	rev uint64
	// era rises by one with each restore, and eraText is what answers say instead of it, unless it is nil.
	era     uint64
	eraText *string
	// oldest is the lowest revision from which a watch can start; the history before it was compacted.
	oldest  uint64
	kinds   map[string]map[string]Object
	history []change
	// changed is closed and replaced at each change.
	changed      chan struct{}
	errorStatus  int
	unresponsive bool
	isAway       bool
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, era: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// SetErrorStatus makes the store answer all calls with this status; 0 restores normal answers.
func (s *Store) SetErrorStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorStatus = status
}

// SetUnresponsive makes the store leave calls unanswered until the caller disconnects; false restores normal answers.
func (s *Store) SetUnresponsive(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = yes
}

// SetEraText makes answers say another text than the era; an empty one has them say none.
func (s *Store) SetEraText(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = &text
}

// Copy is all that a store held at one time.
type Copy struct {
	rev, oldest uint64
	kinds       map[string]map[string]Object
	history     []change
}

// Copy returns all that the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rev: s.rev, oldest: s.oldest, kinds: cloned(s.kinds), history: slices.Clone(s.history)}
}

// Restore replaces all that the store holds by a copy, begins the next era, and cuts off the watches that wait.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.oldest, s.kinds, s.history = c.rev, c.oldest, cloned(c.kinds), slices.Clone(c.history)
	s.era++
	s.notify()
}

func cloned(kinds map[string]map[string]Object) map[string]map[string]Object {
	next := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		next[kind] = maps.Clone(objects)
	}
	return next
}

// SetAway makes the store cut all calls, those that wait included; false restores normal answers.
func (s *Store) SetAway(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = yes
	s.notify()
}

// Calls returns the number of calls received, including failed and unanswered ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history of changes, so that a watch from an older revision gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.rev
	s.notify()
}

// Put writes spec to an object as JSON, as the operator or a runner does; a value that can't be encoded becomes null.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		text = []byte("null")
	}
	s.PutRaw(kind, name, text)
}

// PutRaw writes JSON text to an object's spec unchecked, so that tests can store invalid specs.
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

// Remove deletes an object and adds the removal to the history; an absent object is ignored.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.kinds[kind][name]
	if !found {
		return
	}
	s.rev++
	o.Metadata.Rev = s.rev
	delete(s.kinds[kind], name)
	s.history = append(s.history, change{kind: kind, removed: true, object: o})
	s.notify()
}

// Spec returns the JSON text of an object's spec, and false if there is none.
func (s *Store) Spec(kind, name string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.kinds[kind][name]
	return o.Spec, found
}

// Names returns the names of a kind's objects, sorted.
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

// notify wakes the pending watch calls; mu must be stored.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call below /kingcupstile/objects/.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	errorStatus, unresponsive, isAway := s.errorStatus, s.unresponsive, s.isAway
	s.writeEra(w)
	s.mu.Unlock()
	path, ok := strings.CutPrefix(r.URL.Path, "/kingcupstile/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case isAway:
		panic(http.ErrAbortHandler)
	case unresponsive:
		// net/http detects that the caller disconnected only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case errorStatus != 0:
		w.WriteHeader(errorStatus)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && !named && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	default:
		s.serveObject(w, r, kind, name)
	}
}

// writeEra sets the header that says the era; mu must be held.
func (s *Store) writeEra(w http.ResponseWriter) {
	text := strconv.FormatUint(s.era, 10)
	if s.eraText != nil {
		text = *s.eraText
	}
	if text != "" {
		w.Header().Set(headerEra, text)
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
	writeJSON(w, http.StatusOK, page)
}

// event is a change as the answer to a watch encodes it.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		events, rev, compacted, changed := s.changesSince(kind, since, era)
		switch {
		case changed == nil:
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes to a kind after a revision, the current revision, whether the store lacks changes after the given
// one or does not have it, and a channel that is closed at the next change, which is nil in another era than the given one, and
// while the store is away.
func (s *Store) changesSince(kind string, rev, era uint64) ([]event, uint64, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era || s.isAway {
		return nil, 0, false, nil
	}
	events := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Rev > rev {
			events = append(events, event{Removed: c.removed, Object: c.object})
		}
	}
	return events, s.rev, rev < s.oldest || rev > s.rev, s.changed
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	stored, found := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found, o.Metadata.Rev != 0 && o.Metadata.Rev != stored.Metadata.Rev:
		writeJSON(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	case r.Method == http.MethodDelete:
		s.rev++
		delete(s.kinds[kind], name)
		stored.Metadata.Rev = s.rev
		s.history = append(s.history, change{kind: kind, removed: true, object: stored})
		s.notify()
		writeJSON(w, http.StatusOK, stored)
	default:
		writeJSON(w, http.StatusOK, stored)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has disconnected if writing fails, and gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}
