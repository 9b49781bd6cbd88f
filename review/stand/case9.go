//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

func init() { cases["9"] = deadEntryNamed }

const (
	// entryCount is the number of entries; stableTime is bounds.stableMs of the deployment.
	entryCount = 40
	stableTime = 4 * time.Second
	// deadTime is how long a machine must be dead for the directory not to name it.
	deadTime = stableTime + 3*time.Second
)

// deadEntryNamed kills one entry for good and restarts another one 8 s later, and asks the other one which entries callers may use.
func deadEntryNamed(w *world) (bool, error) {
	w.store.Put("config", "main", configuration(7))
	if _, err := w.startPlain("i-1", "127.6.3.10", plainService); err != nil {
		return false, err
	}
	ips := make([]string, entryCount)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.6.4.%d", 10+i)
	}
	port, err := freePort(ips...)
	if err != nil {
		return false, err
	}
	entries := make([]*entry, entryCount)
	for i, ip := range ips {
		changes := map[string]any{
			"centre": fmt.Sprintf("be-central-%c", 'a'+i%3), "region": "be-central", "internal": []int{port, port + 15}, "slack": 359,
		}
		if entries[i], err = w.startEntry(fmt.Sprintf("edge-%02d", i), ip, w.storeAddress, changes); err != nil {
			return false, err
		}
	}
	for _, e := range entries {
		if err := e.awaitReady(30 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(15 * time.Second)
	dead, other := entries[20], entries[23]
	if w.trouble {
		_ = dead.command.Process.Kill()
		<-dead.ended
	}
	killedAt := time.Now()
	w.note("%s at %s is killed for good: %t", dead.name, dead.callers, w.trouble)
	time.Sleep(8 * time.Second)
	_ = other.command.Process.Kill()
	<-other.ended
	if other.process, err = w.start(other.name, other.settings); err != nil {
		return false, err
	}
	startedAt := time.Now()
	w.note("%s starts again", other.name)
	named, answers := 0, 0
	for time.Since(startedAt) < 20*time.Second {
		time.Sleep(250 * time.Millisecond)
		list, err := lookup(other.lookup)
		inTouch, isLong := time.Since(startedAt) > stableTime, time.Since(killedAt) > deadTime
		if err != nil || !inTouch || !isLong || len(list) < 2 {
			continue
		}
		answers++
		if w.trouble && slices.Contains(list, dead.callers) {
			named++
			w.note("DRAIN: %s, started %v ago, names %s, killed %v ago, beside %d others", other.name,
				time.Since(startedAt).Round(time.Millisecond), dead.name, time.Since(killedAt).Round(time.Millisecond), len(list)-1)
		}
	}
	w.note("%d of %d answers in touch name it", named, answers)
	if answers < 20 {
		return false, fmt.Errorf("only %d answers", answers)
	}
	return named > 3, nil
}

// lookup asks an entry which entries callers in a data centre may use.
func lookup(address string) ([]string, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/kingcupstile/lookup?name=" + host + "&region=be-central&zone=be-central-c")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	return answer.Addrs, json.Unmarshal(text, &answer)
}
