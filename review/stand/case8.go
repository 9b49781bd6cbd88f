//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["8"] = unreadVersion }

// revokeTime is bounds.revokeMs.
const revokeTime = 5 * time.Second

// unreadVersion has the operator split a route and take a key away in one version, and sends requests with that key for a while.
func unreadVersion(w *world) (bool, error) {
	w.store.Put("config", "main", configuration(7))
	var runners []*plainRunner
	for i, service := range []string{plainService, plainService, "wuno97c"} {
		r, err := w.startPlain(fmt.Sprintf("i-%d", i), fmt.Sprintf("127.6.3.%d", 10+i), service)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	var entries []*entry
	for i := range 2 {
		e, err := w.startEntry(fmt.Sprintf("edge-%d", i), fmt.Sprintf("127.6.0.%d", 10+i), w.storeAddress, nil)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	const revoked = "anfqasnmgkcuyj8pjbvk"
	before, after, late := map[int]int{}, map[int]int{}, 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, e := range entries {
			_, status := ask(context.Background(), e.callers, "/cufi504/2f", revoked)
			before[status]++
		}
	}
	w.note("answers with the key before it is taken away, by status: %s", summary(before))
	if before[200] < 50 {
		return false, fmt.Errorf("only %d requests were served before", before[200])
	}
	w.store.Put("config", "main", splitConfiguration(w.trouble))
	acknowledged := time.Now()
	w.note("version 9 is acknowledged: the key is taken away, and a route is split")
	kept := map[int]int{}
	for time.Since(acknowledged) < 25*time.Second {
		for _, e := range entries {
			sent := time.Now()
			id, status := ask(context.Background(), e.callers, "/cufi504/2f", revoked)
			after[status]++
			if sent.Sub(acknowledged) > revokeTime && hasRun(runners, id) {
				if late++; late <= 5 {
					w.note("CONFIG: request %s with the key runs, sent %v after the acknowledgement, status %d", id, sent.Sub(acknowledged), status)
				}
			}
			_, status = ask(context.Background(), e.callers, "/cufi504/2f", apiKey)
			kept[status]++
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("answers with the key after that, by status: %s; with the other key: %s", summary(after), summary(kept))
	w.note("%d requests with the key were sent later than %v after the acknowledgement and ran", late, revokeTime)
	if kept[200] < 50 {
		return false, fmt.Errorf("only %d requests with the other key were served", kept[200])
	}
	return late > 0, nil
}

// splitConfiguration returns a version with one key less and a route that is split by weights, which are written as 90.0 and 10.0 or,
// without trouble, as 90 and 10.
func splitConfiguration(trouble bool) map[string]any {
	c := configuration(9)
	weights := []json.Number{"90", "10"}
	if trouble {
		weights = []json.Number{"90.0", "10.0"}
	}
	for _, r := range c["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "r-safe" {
			delete(route, "service")
			route["split"] = []any{
				map[string]any{"service": plainService, "weight": weights[0]}, map[string]any{"service": "wuno97c", "weight": weights[1]},
			}
		}
	}
	c["services"] = append(c["services"].([]any),
		map[string]any{"name": "wuno97c", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false})
	c["tenants"].([]any)[0].(map[string]any)["apiKeys"] = []any{apiKey}
	return c
}
