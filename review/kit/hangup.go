package main

import (
	"net/http"
	"slices"
	"syscall"
	"time"
)

// hangup sends an entry SIGTERM and, while it drains, SIGHUP. Rule LOST: around planned work, a request that the entry has
// read and passed on gets a complete answer.
func hangup(w *world) int {
	all := newRuns()
	w.configure(
		[]map[string]any{streamRoute("models"), unsafeRoute("desk"), safeRoute("desk")},
		[]map[string]any{modelService("models", usualMemory), deskService("desk")})
	if _, err := w.addRunners("models", 40, 4, func(r *runner) { r.arrived = all.add }); err != nil {
		return w.fail(err)
	}
	if _, err := w.addRunners("desk", 50, 3, func(r *runner) { r.slots, r.work, r.arrived = 6, 60*time.Millisecond, all.add }); err != nil {
		return w.fail(err)
	}
	if err := w.startEntries(3); err != nil {
		return w.fail(err)
	}
	c := newClient(w)
	var termed [3]time.Time
	go func() {
		time.Sleep(4 * time.Second)
		for i := range 2 {
			termed[i] = time.Now()
			w.record.say("SIGTERM to entry %d", i+1)
			w.entries[i].signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			if w.trouble {
				w.record.say("the settings of entry %d change; SIGHUP, error: %v", i+1, w.entries[i].hangUp())
			}
			time.Sleep(11 * time.Second)
		}
		close(w.stop)
	}()
	go c.load(5, func(entry int) { c.do(entry, http.MethodPost, "/order/2f", "one order", time.Second, nil) })
	go c.load(3, func(entry int) { c.do(entry, http.MethodGet, "/sheet/2f", "", time.Second, nil) })
	c.load(12, func(entry int) {
		c.do(entry, http.MethodPost, "/draft/2f", "one draft", 8*time.Second, draft(usualEvents))
	})
	time.Sleep(time.Second)
	lost := map[*try]bool{}
	for _, t := range c.tries {
		at := termed[t.entry]
		list := all.of(t.id)
		if at.IsZero() || t.complete || t.isLeft() || len(list) == 0 {
			continue
		}
		if t.ended.Before(at) || t.sent.After(at.Add(3*time.Second)) {
			continue
		}
		// Work in the last sixth of the grace period excuses the entry.
		if slices.ContainsFunc(list, func(x *run) bool { return x.ended.After(at.Add(graceBound * 5 / 6)) }) {
			continue
		}
		lost[t] = true
	}
	w.noteAll(c.tries, all, lost)
	w.record.say("%d requests, %d lost around SIGTERM", len(c.tries), len(lost))
	if len(lost) > 0 {
		return broken
	}
	return held
}
