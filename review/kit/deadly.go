package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// deadly sends a request that crashes each runner that runs it, again and again. Rule BUDGET: it reaches runners in no more
// than three retries later than stableMs after it has crashed the third.
func deadly(w *world) int {
	all := newRuns()
	var mu sync.Mutex
	var crashes []time.Time
	w.configure([]map[string]any{streamRoute("models")}, []map[string]any{modelService("models", usualMemory)})
	if _, err := w.addRunners("models", 40, 6, func(r *runner) {
		r.arrived = all.add
		r.deadly = func(q *http.Request, event int) bool {
			if q.URL.Path != "/draft/deadly" {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			w.record.say("runner %s crashes under request %s after event %d", r.name, q.Header.Get("X-Request-Id"), event)
			return true
		}
	}); err != nil {
		return w.fail(err)
	}
	if err := w.startEntries(3); err != nil {
		return w.fail(err)
	}
	c := newClient(w)
	go func() {
		time.Sleep(3 * time.Second)
		for range 20 {
			if w.trouble {
				go c.do(rand.N(3), http.MethodPost, "/draft/deadly", "deadly draft", 8*time.Second, draft(usualEvents))
			}
			time.Sleep(2 * time.Second)
		}
		close(w.stop)
	}()
	c.load(6, func(entry int) {
		c.do(entry, http.MethodPost, "/draft/2f", "one draft", 8*time.Second, draft(usualEvents))
	})
	time.Sleep(time.Second)
	cut, refused, retries := 0, 0, map[*try]bool{}
	for _, t := range c.tries {
		list := all.of(t.id)
		if t.path != "/draft/deadly" {
			if !t.complete && !t.isLeft() {
				cut++
			}
			continue
		}
		late := len(crashes) >= 3 && t.sent.After(crashes[2].Add(stableBound))
		switch {
		case len(list) == 0:
			refused++
		case late:
			retries[t] = true
		}
	}
	w.noteAll(c.tries, all, retries)
	w.record.say("%d runners crashed; the deadly request reached runners in %d retries later than %v after the third, and was refused %d times",
		len(crashes), len(retries), stableBound, refused)
	w.record.say("%d other drafts were cut off", cut)
	if len(retries) > 3 {
		return broken
	}
	return held
}
