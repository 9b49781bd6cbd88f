//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["7"] = repeatedPiece }

// streamEvents is how many events a stream has.
const streamEvents = 5

// repeatedPiece has runners crash whose streams begin with the event 0, one after the other, and looks for pieces that clients get twice.
func repeatedPiece(w *world) (bool, error) {
	first := 0
	if text := os.Getenv("FIRST"); text != "" {
		first, _ = strconv.Atoi(text)
	}
	c := configuration(7)
	for _, s := range c["services"].([]any) {
		if engine, found := s.(map[string]any)["engine"].(map[string]any); found {
			// The runners are no ranks of a group.
			for _, key := range []string{"sets", "experts", "placements", "spare", "expertMb", "expertShare", "form_ms"} {
				delete(engine, key)
			}
		}
	}
	w.store.Put("config", "main", c)
	var runners []*streamer
	for i := range 6 {
		s := &streamer{w: w, name: fmt.Sprint(i), ip: fmt.Sprintf("127.6.2.%d", 10+i), first: first, events: streamEvents, interval: 50 * time.Millisecond}
		if err := s.start(); err != nil {
			return false, err
		}
		runners = append(runners, s)
	}
	e, err := w.startEntry("edge-1", "127.6.0.10", w.storeAddress, nil)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 40*time.Second)
	defer stop()
	var clients sync.WaitGroup
	tally := &streamTally{w: w, first: first, events: streamEvents}
	for range 12 {
		clients.Go(func() {
			for ctx.Err() == nil {
				tally.request(e.callers)
			}
		})
	}
	for i := 0; w.trouble && ctx.Err() == nil; i++ {
		time.Sleep(time.Second)
		r := runners[i%len(runners)]
		r.crash()
		time.Sleep(time.Second)
		if err := r.start(); err != nil {
			return false, err
		}
	}
	clients.Wait()
	w.note("%d requests, %d whole, %d broken off or refused, %d with a piece twice or missing", tally.requests, tally.whole,
		tally.requests-tally.whole-tally.wrong, tally.wrong)
	if tally.whole < 50 {
		return false, fmt.Errorf("only %d streams were whole", tally.whole)
	}
	return tally.wrong > 0, nil
}

// streamTally counts what clients got.
type streamTally struct {
	w                      *world
	first, events          int
	mu                     sync.Mutex
	requests, whole, wrong int
}

// request sends one request and counts what its answer was.
func (t *streamTally) request(address string) {
	id := strconv.FormatUint(rand.Uint64(), 16)
	ids, status, err := stream(address, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	want := make([]int, t.events)
	for i := range want {
		want[i] = t.first + i
	}
	switch {
	case hasRepeatOrGap(ids, t.first):
		t.wrong++
		t.w.note("ORDER: client got events %v of request %s, status %d, error %v", ids, id, status, err)
	case err == nil && status == http.StatusOK && fmt.Sprint(ids) == fmt.Sprint(want):
		t.whole++
	case err == nil && status == http.StatusOK:
		t.wrong++
		t.w.note("ORDER: the answer to request %s ends as complete with events %v", id, ids)
	default:
		t.w.note("request %s: events %v, status %d, error %v", id, ids, status, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// hasRepeatOrGap reports whether the identifiers are not those from first on, one after the other.
func hasRepeatOrGap(ids []int, first int) bool {
	for i, id := range ids {
		if id != first+i {
			return true
		}
	}
	return false
}

// stream sends a request on a new connection and returns the identifiers of the whole events of the answer.
func stream(address, id string) (ids []int, status int, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/lohu930/2f", strings.NewReader("draft of slip "+id))
	if err != nil {
		return nil, 0, err
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "8000")
	q.Header.Set("Authorization", "Token "+apiKey)
	q.Header.Set("X-Model", "m")
	q.Header.Set("X-Token-Count", "700,97")
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(q)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	last, hasID := 0, false
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return ids, response.StatusCode, nil
		}
		if err != nil {
			return ids, response.StatusCode, err
		}
		line = strings.TrimRight(line, "\r\n")
		if text, found := strings.CutPrefix(line, "id: "); found {
			last, err = strconv.Atoi(text)
			hasID = err == nil
		}
		if line == "" && hasID {
			ids, hasID = append(ids, last), false
		}
	}
}
