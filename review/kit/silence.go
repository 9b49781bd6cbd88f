package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// silence has runners that run out of memory, preempt their newest requests and go on with them later. Rule LOST: an entry
// does not close a kept connection on a request that a sound runner works on more than three times, and around SIGHUP not at
// all.
func silence(w *world) int {
	all := newRuns()
	capacity := usualMemory
	if w.trouble {
		capacity = 4 * (promptTokens + 15*eventTokens)
	}
	w.configure([]map[string]any{streamRoute("models")}, []map[string]any{modelService("models", capacity)})
	if _, err := w.addRunners("models", 40, 4, func(r *runner) {
		r.arrived = all.add
		r.memory = &memory{capacity: capacity}
	}); err != nil {
		return w.fail(err)
	}
	if err := w.startEntries(3); err != nil {
		return w.fail(err)
	}
	c := newClient(w)
	hungUp := make([][]time.Time, len(w.entries))
	go func() {
		time.Sleep(8 * time.Second)
		for n := range 12 {
			i := n % len(w.entries)
			hungUp[i] = append(hungUp[i], time.Now())
			w.record.say("the settings of entry %d change; SIGHUP, error: %v", i+1, w.entries[i].hangUp())
			time.Sleep(4 * time.Second)
		}
		close(w.stop)
	}()
	c.load(5, func(entry int) {
		c.do(entry, http.MethodPost, "/draft/2f", "one draft", 8*time.Second, draft(8+rand.N(53)))
	})
	time.Sleep(time.Second)
	complete, left, refused, kept, planned, cut := 0, 0, 0, 0, 0, map[*try]bool{}
	for _, t := range c.tries {
		list := all.of(t.id)
		switch {
		case t.complete && t.status == http.StatusOK:
			complete++
		case t.isLeft():
			left++
		case t.complete:
			refused++
		case len(list) > 0:
			cut[t] = true
			if t.isKept {
				kept++
			}
			if slices.ContainsFunc(hungUp[t.entry], func(at time.Time) bool {
				return t.ended.After(at) && t.sent.Before(at.Add(applyBound))
			}) {
				planned++
			}
		}
	}
	w.noteAll(c.tries, all, cut)
	w.record.say("%d requests: %d complete, %d left by the client after a gap of %v, %d refused, %d cut off by an entry",
		len(c.tries), complete, left, maxGap, refused, len(cut))
	w.record.say("of these, %d came on a kept connection, and %d were sent up to %v after SIGHUP to the entry and cut after it",
		kept, planned, applyBound)
	if kept > 3 || planned > 0 {
		return broken
	}
	return held
}
