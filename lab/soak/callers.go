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
	// patience is what callers wait for one answer.
	patience = 4 * time.Second
	// kept is how long callers keep an answer on which entries to use.
	kept = 2 * time.Second
)

// sent is one request with what its caller was told.
type sent struct {
	id, path string
	status   int
	whole    bool
	body     string
	at       time.Time
}

// book is what all callers were told.
type book struct {
	mu   sync.Mutex
	next int
	list []sent
}

func (b *book) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return fmt.Sprint("r-", b.next)
}

func (b *book) add(s sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, s)
}

func (b *book) all() []sent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]sent(nil), b.list...)
}

// caller sends one request after the other on connections that it keeps.
type caller struct {
	random  *rand.Rand
	world   *world
	entries []*process
	book    *book
	client  *http.Client
	use     []string
	asked   time.Time
}

func newCaller(random *rand.Rand, w *world, entries []*process, b *book) *caller {
	return &caller{random: random, world: w, entries: entries, book: b, client: &http.Client{
		Timeout: patience, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2},
	}}
}

// paths are what callers ask for, streams as often as all else.
var paths = []string{"/draft/", "/draft/", "/draft/once/", "/file/", "/file/", "/look/"}

// run sends until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if time.Since(c.asked) > kept {
			c.ask(ctx)
		}
		if len(c.use) > 0 {
			s := c.send(ctx, c.use[c.random.IntN(len(c.use))], paths[c.random.IntN(len(paths))])
			if ctx.Err() != nil {
				// The end of the run cut it.
				s.at = time.Time{}
			}
			c.book.add(s)
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
}

// ask asks some entry which entries to use, and keeps the last answer when it gets none.
func (c *caller) ask(ctx context.Context) {
	e := c.entries[c.random.IntN(len(c.entries))]
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(call, http.MethodGet, "http://"+e.lookup+"/kingcupstile/lookup?zone=z&region=r", nil)
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
		c.use, c.asked = list.Addresses, time.Now()
	}
}

// send sends one request and returns what came of it.
func (c *caller) send(ctx context.Context, address, path string) sent {
	s := sent{id: c.book.id(), path: path, at: time.Now()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+"x", strings.NewReader("body of "+s.id))
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set("X-Request-Id", s.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	holder := c.world.holder()
	if holder > 0 && c.random.IntN(10) == 0 {
		// Some callers go on with a key that was taken away.
		holder--
	}
	r.Header.Set("Authorization", "Token "+key(holder))
	answer, err := c.client.Do(r)
	if err != nil {
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	s.status, s.body, s.whole = answer.StatusCode, string(text), err == nil
	return s
}
