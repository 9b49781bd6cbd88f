package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// try is one client attempt.
type try struct {
	id, path string
	entry    int
	sent     time.Time
	// ended is when the answer was complete or the connection had ended.
	ended    time.Time
	status   int
	seal     string
	complete bool
	events   int
	err      error
	// saysLeaving is whether the answer said that its runner leaves.
	saysLeaving bool
	// isKept is whether the connection had been used before.
	isKept bool
	// left is set if the client gave up after a gap in a stream.
	left atomic.Bool
}

// maxGap is the gap in a stream after which a client leaves.
const maxGap = 2 * time.Second

// result tells how the attempt ended.
func (t *try) result() string {
	switch {
	case t.complete:
		return fmt.Sprintf("%d, complete", t.status)
	case t.status != 0:
		return fmt.Sprintf("%d, cut after %d events: %v", t.status, t.events, t.err)
	}
	return fmt.Sprintf("no answer: %v", t.err)
}

// client sends requests on connections that it keeps for each entry.
type client struct {
	world *world
	http  *http.Client
	mu    sync.Mutex
	tries []*try
}

func newClient(w *world) *client {
	return &client{world: w, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true,
	}}}
}

// do sends one request to an entry and waits for the end of the answer.
func (c *client) do(number int, method, path string, body string, deadline time.Duration, header map[string]string) *try {
	t := &try{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, entry: number, sent: time.Now()}
	c.mu.Lock()
	c.tries = append(c.tries, t)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// A client of a stream leaves after a gap of two seconds, also before the first event.
	var gap *time.Timer
	if strings.HasPrefix(path, "/draft/") {
		gap = time.AfterFunc(maxGap, func() {
			t.left.Store(true)
			cancel()
		})
		defer gap.Stop()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { t.isKept = i.Reused }})
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.world.entries[number].callers+path, strings.NewReader(body))
	if err != nil {
		t.err, t.ended = err, time.Now()
		return t
	}
	q.Host = host
	q.Header.Set("X-Request-Id", t.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	a, err := c.http.Do(q)
	if err != nil {
		t.err, t.ended = err, time.Now()
		return t
	}
	defer func() { _ = a.Body.Close() }()
	t.status, t.seal, t.saysLeaving = a.StatusCode, a.Header.Get("X-Server-Seal"), a.Header.Get("Server-Leaving") != ""
	buffer := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = a.Body.Read(buffer)
		t.events += strings.Count(string(buffer[:n]), "data: ")
		if n > 0 && gap != nil {
			gap.Reset(maxGap)
		}
	}
	if err == io.EOF {
		err = nil
	}
	t.err, t.complete, t.ended = err, err == nil, time.Now()
	return t
}

// isLeft reports whether the client itself gave up at its deadline.
func (t *try) isLeft() bool { return t.left.Load() || errors.Is(t.err, context.DeadlineExceeded) }

// lookup returns the numbers of the entries that one of them names to clients.
func (c *client) lookup() []int {
	for _, i := range rand.Perm(len(c.world.entries)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q, _ := http.NewRequestWithContext(ctx, http.MethodGet,
			"http://"+c.world.address(10+i, 8224)+"/kingcupstile/lookup?name="+host+"&region=r&zone=a", nil)
		a, err := c.http.Do(q)
		if err != nil {
			cancel()
			continue
		}
		var body struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(a.Body).Decode(&body)
		_ = a.Body.Close()
		cancel()
		var list []int
		for n, e := range c.world.entries {
			for _, address := range body.Addrs {
				if address == e.callers {
					list = append(list, n)
				}
			}
		}
		if err == nil && len(list) > 0 {
			return list
		}
	}
	return nil
}

// load sends requests at a rate until the world stops: each to a random one of the entries that the last lookup named.
func (c *client) load(perSecond float64, one func(entry int)) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	list := c.lookup()
	go func() {
		for {
			select {
			case <-time.After(time.Second):
			case <-c.world.stop:
				return
			}
			if next := c.lookup(); next != nil {
				mu.Lock()
				list = next
				mu.Unlock()
			}
		}
	}()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.world.stop:
			wait.Wait()
			return
		}
		mu.Lock()
		number := -1
		if len(list) > 0 {
			number = list[rand.N(len(list))]
		}
		mu.Unlock()
		if number < 0 {
			continue
		}
		wait.Go(func() { one(number) })
	}
}
