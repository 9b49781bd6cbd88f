package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout bounds one request, its answer included; callers send it as the deadline.
	callTimeout = 4 * time.Second
	// lookupTTL is how long callers use the entry addresses of one lookup.
	lookupTTL = 2 * time.Second
)

// result is one request with the answer that its caller received.
type result struct {
	id, path string
	status   int
	complete bool
	body     string
	sentAt   time.Time
	endedAt  time.Time
	// address is the entry's, and account the number of the account whose key was sent.
	address string
	account int
}

// recorder collects the results of all callers and issues their request IDs.
type recorder struct {
	mu      sync.Mutex
	lastID  int
	results []result
}

func (r *recorder) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprint("r-", r.lastID)
}

func (r *recorder) add(s result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, s)
}

func (r *recorder) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.results...)
}

// caller sends requests one at a time over persistent connections.
type caller struct {
	random     *rand.Rand
	testbed    *testbed
	entries    []*process
	results    *recorder
	client     *http.Client
	addresses  []string
	lookedUpAt time.Time
}

func newCaller(random *rand.Rand, bed *testbed, entries []*process, r *recorder) *caller {
	return &caller{random: random, testbed: bed, entries: entries, results: r, client: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2},
	}}
}

// requestPaths lists the paths to draw from; half of them are streams.
var requestPaths = []string{"/draft/", "/draft/", "/draft/once/", "/file/", "/file/", "/look/"}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Since(c.lookedUpAt) > lookupTTL {
			c.lookUp(ctx)
		}
		if len(c.addresses) > 0 {
			s := c.send(ctx, c.addresses[c.random.IntN(len(c.addresses))], requestPaths[c.random.IntN(len(requestPaths))])
			if ctx.Err() != nil {
				// The end of the run cancelled the request. The zero time keeps it out of the share served after the
				// last fault.
				s.sentAt = time.Time{}
			}
			c.results.add(s)
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
}

// lookUp asks a random entry for the addresses of the entries to use, and keeps the previous addresses if that fails.
func (c *caller) lookUp(ctx context.Context) {
	e := c.entries[c.random.IntN(len(c.entries))]
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+e.lookupAddress+"/kingcupstile/lookup?zone=z&region=r", nil)
	if err != nil {
		return
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	var list struct {
		Addresses []string `json:"addrs"`
	}
	if json.NewDecoder(answer.Body).Decode(&list) == nil && len(list.Addresses) > 0 {
		c.addresses, c.lookedUpAt = list.Addresses, time.Now()
	}
}

// send sends one request and returns its result, with status 0 if no answer came.
func (c *caller) send(ctx context.Context, address, path string) result {
	s := result{id: c.results.nextID(), path: path, sentAt: time.Now(), address: address}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+"x", strings.NewReader("body of "+s.id))
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set("X-Request-Id", s.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	account := c.testbed.activeAccount()
	if account > 0 && c.random.IntN(10) == 0 {
		// One request in ten uses the key that was revoked last.
		account--
	}
	r.Header.Set("Authorization", "Token "+apiKey(account))
	s.account = account
	answer, err := c.client.Do(r)
	if err != nil {
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	s.status, s.body, s.complete, s.endedAt = answer.StatusCode, string(text), err == nil, time.Now()
	return s
}
