//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plainRunner is a runner of a plain service that answers each request with a few words.
type plainRunner struct {
	id, service, address string
	mu                   sync.Mutex
	// runs holds when the runner ran a request, by the request's identifier.
	runs map[string]time.Time
}

// startPlain starts a runner at an IP address and registers it in the store.
func (w *world) startPlain(id, ip, service string) (*plainRunner, error) {
	r := &plainRunner{id: id, service: service, runs: map[string]time.Time{}}
	address, err := w.serve(ip, r)
	if err != nil {
		return nil, err
	}
	r.address = address
	w.store.Put("servers", id, registration(service, address, 6, "ready", time.Now(), 0))
	return r, nil
}

// ServeHTTP runs a request that is meant for this runner.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, h := q.Header.Get("X-Request-Id"), w.Header()
	h.Set("X-Request-Id", id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		h.Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs[id] = time.Now()
	r.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	h.Set("X-Server-Seal", "3e1b."+r.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// hasRun reports whether one of some runners ran a request.
func hasRun(runners []*plainRunner, id string) bool {
	for _, r := range runners {
		r.mu.Lock()
		_, ran := r.runs[id]
		r.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}

// ask sends a safe request with a key to an entry, and returns its identifier and the status of the answer, 0 if there is none.
func ask(ctx context.Context, address, path, key string) (id string, status int) {
	id = strconv.FormatUint(rand.Uint64(), 16)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return id, 0
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "1500")
	q.Header.Set("Authorization", "Token "+key)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(q)
	if err != nil {
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && !strings.Contains(string(body), id) {
		return id, 0
	}
	return id, response.StatusCode
}

// summary returns counts by status as one line.
func summary(statuses map[int]int) string { return strings.TrimPrefix(fmt.Sprint(statuses), "map") }
