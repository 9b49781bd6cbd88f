package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// runs collects what reached the runners.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func newRuns() *runs { return &runs{byID: map[string][]*run{}} }

func (r *runs) add(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.id] = append(r.byID[x.id], x)
}

func (r *runs) of(id string) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// addRunners starts a number of runners of a service.
func (w *world) addRunners(service string, first, n int, template func(r *runner)) ([]*runner, error) {
	var list []*runner
	for i := range n {
		r := &runner{
			world: w, name: fmt.Sprintf("%s-%d", service, i+1), service: service, address: w.address(first+i, 8120),
			slots: 12, gap: 85 * time.Millisecond, work: 15 * time.Millisecond,
		}
		template(r)
		if err := r.start(); err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// usualEvents is the mean number of events in a stream, and usualMemory the memory of a runner in tokens, by the users' sheet.
const (
	usualEvents = 24
	usualMemory = 280000
)

// draft is the header of a request for a stream of some events.
func draft(events int) map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", promptTokens, events*eventTokens),
		"X-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32()),
	}
}

// since returns a time as the record shows it.
func (w *world) since(at time.Time) float64 { return at.Sub(w.record.start).Seconds() }

// noteAll records what was sent, answered and run, in the order of sending; attempts that broke the rule are marked.
func (w *world) noteAll(tries []*try, all *runs, marked map[*try]bool) {
	slices.SortFunc(tries, func(a, b *try) int { return a.sent.Compare(b.sent) })
	for _, t := range tries {
		mark := " "
		if marked[t] {
			mark = "!"
		}
		line := fmt.Sprintf("%s request %s %s sent at %.3f to entry %d, ended at %.3f: %s",
			mark, t.id, t.path, w.since(t.sent), t.entry+1, w.since(t.ended), t.result())
		for _, x := range all.of(t.id) {
			line += fmt.Sprintf("; at %s from %.3f to %.3f, answered in full: %t", x.runner, w.since(x.at), w.since(x.ended), x.whole)
		}
		w.record.write(line)
	}
}
