package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// stale has a runner drain, and 3.2 s later the store forgets its history and is slow. Rule DRAIN: no request that a client
// sent later than drainMs after an entry learnt of the draining, or passed on an answer that says so, reaches the runner from
// that entry.
func stale(w *world) int {
	all := newRuns()
	w.configure([]map[string]any{safeRoute("desk")}, []map[string]any{deskService("desk")})
	list, err := w.addRunners("desk", 40, 3, func(r *runner) { r.slots, r.work, r.arrived = 6, 60*time.Millisecond, all.add })
	if err != nil {
		return w.fail(err)
	}
	leaving := list[0].id
	var mu sync.Mutex
	learnt := map[int]time.Time{}
	w.store.told = func(door int, name, state string, removed bool) {
		mu.Lock()
		defer mu.Unlock()
		if name != leaving {
			return
		}
		w.record.say("the store tells entry %d that %s is %s, removed: %t", door+1, name, state, removed)
		if _, known := learnt[door]; !known && (removed || state == "draining") {
			learnt[door] = time.Now()
		}
	}
	if err := w.startEntries(3); err != nil {
		return w.fail(err)
	}
	c := newClient(w)
	go func() {
		time.Sleep(6 * time.Second)
		w.record.say("runner %s drains", leaving)
		list[0].drain()
		time.Sleep(3 * time.Second)
		if w.trouble {
			w.record.say("the store answers in %v", 60*calm)
			w.store.set(func() { w.store.delay = 60 * calm })
		}
		time.Sleep(300 * time.Millisecond)
		if w.trouble {
			w.record.say("the store forgets its history and cuts watches; serializable reads are 5.5 s old")
			w.store.set(func() { w.store.behind = 5500 * time.Millisecond })
			w.store.forget()
		}
		time.Sleep(4 * time.Second)
		w.store.set(func() { w.store.delay, w.store.behind = calm, 0 })
		time.Sleep(2 * time.Second)
		close(w.stop)
	}()
	c.load(60, func(entry int) { c.do(entry, http.MethodGet, "/sheet/2f", "", time.Second, nil) })
	time.Sleep(time.Second)
	passedOn := map[int]time.Time{}
	for _, t := range c.tries {
		if at, known := passedOn[t.entry]; t.saysLeaving && (!known || t.ended.Before(at)) {
			passedOn[t.entry] = t.ended
		}
	}
	isLate := func(t *try, since map[int]time.Time) bool {
		at, known := since[t.entry]
		return known && t.sent.After(at.Add(drainBound))
	}
	late, lateAfterAnswer, marked := 0, 0, map[*try]bool{}
	for _, t := range c.tries {
		reached := slices.ContainsFunc(all.of(t.id), func(x *run) bool { return x.runner == leaving })
		if reached && isLate(t, passedOn) {
			lateAfterAnswer++
			marked[t] = true
		}
		if reached && isLate(t, learnt) {
			late++
			marked[t] = true
		}
	}
	w.noteAll(c.tries, all, marked)
	w.record.say("%d requests; %d that were sent later than %v after their entry had learnt of it from the store reached the draining runner",
		len(c.tries), late, drainBound)
	w.record.say("%d entries had passed on an answer with Server-Leaving; %d requests that were sent later than %v after that reached the runner",
		len(passedOn), lateAfterAnswer, drainBound)
	if late+lateAfterAnswer > 0 {
		return broken
	}
	return held
}
