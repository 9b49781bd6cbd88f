package main

import (
	"net/http"
	"time"
)

// keyless takes all keys away, as an operator does after a leak: the new version has no tenants. Rule CONFIG: a request sent later
// than revokeMs after the acknowledgement of a configuration that took its key away does not run.
func keyless(w *world) int {
	all := newRuns()
	routes, services := []map[string]any{safeRoute("desk"), unsafeRoute("desk")}, []map[string]any{deskService("desk")}
	w.configure(routes, services)
	if _, err := w.addRunners("desk", 40, 3, func(r *runner) { r.slots, r.arrived = 6, all.add }); err != nil {
		return w.fail(err)
	}
	if err := w.startEntries(3); err != nil {
		return w.fail(err)
	}
	c := newClient(w)
	var revoked time.Time
	go func() {
		time.Sleep(4 * time.Second)
		if w.trouble {
			w.store.put("config", "main", configuration(8, routes, services, []any{}))
			revoked = time.Now()
			w.record.say("the store has acknowledged version 8, which has no tenants: all keys are taken away")
		}
		time.Sleep(12 * time.Second)
		close(w.stop)
	}()
	go c.load(5, func(entry int) { c.do(entry, http.MethodPost, "/order/2f", "one order", time.Second, nil) })
	c.load(10, func(entry int) { c.do(entry, http.MethodGet, "/sheet/2f", "", time.Second, nil) })
	time.Sleep(time.Second)
	late, ran := 0, map[*try]bool{}
	for _, t := range c.tries {
		if revoked.IsZero() || t.sent.Before(revoked.Add(revokeBound)) {
			continue
		}
		late++
		if len(all.of(t.id)) > 0 {
			ran[t] = true
		}
	}
	w.noteAll(c.tries, all, ran)
	w.record.say("%d requests; %d were sent later than %v after their key was taken away, and %d of these ran", len(c.tries), late, revokeBound, len(ran))
	if len(ran) > 0 {
		return broken
	}
	return held
}
