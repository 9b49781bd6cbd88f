package main

import (
	"fmt"
	"math/rand/v2"
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
			slots: 12, events: 24, gap: 85 * time.Millisecond, work: 15 * time.Millisecond,
		}
		template(r)
		if err := r.start(); err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// draft is the header of a request for a stream.
func draft() map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": "714,96",
		"X-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:674", rand.Uint32()),
	}
}

// since returns a time as the record shows it.
func (w *world) since(at time.Time) float64 { return at.Sub(w.record.start).Seconds() }

// note records an attempt with its runs.
func (w *world) note(t *try, list []*run) {
	w.record.say("request %s %s sent at %.3f to entry %d, ended at %.3f: %s", t.id, t.path, w.since(t.sent), t.entry+1, w.since(t.ended), t.result())
	for _, x := range list {
		w.record.say("  reached runner %s at %.3f, its work ended at %.3f, answered in full: %t", x.runner, w.since(x.at), w.since(x.ended), x.whole)
	}
}
