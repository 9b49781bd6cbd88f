package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

const (
	callers = 10
	// readyTime bounds the start of all entries, and recovery the time from the last fault to service as before.
	readyTime = 10 * time.Second
	recovery  = 8 * time.Second
	// served is the least share of requests that have to be served once faults are over.
	served = 0.9
)

// Report is what a run found.
type Report struct {
	Seed uint64
	// Requests, Served and Refused count what callers sent and were told; Faults is what was done to whom.
	Requests, Served, Refused int
	Faults                    []string
	// Broken are promises that did not hold.
	Broken []string
}

// Run runs entries for a time under the faults that a seed draws, and leaves their logs in a folder.
func Run(ctx context.Context, seed uint64, binary, folder string, length time.Duration) (Report, error) {
	report := Report{Seed: seed}
	folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return report, fault.New("make folder", KindSetup, err)
	}
	w, err := newWorld()
	if err != nil {
		return report, err
	}
	defer w.close()
	var list []*process
	defer func() {
		for _, e := range list {
			e.close()
		}
	}()
	for n := range entries {
		e, err := start(ctx, n, binary, folder, w.address)
		if err != nil {
			return report, err
		}
		list = append(list, e)
	}
	b := &book{}
	if !serves(ctx, w, list, readyTime) {
		return report, fault.Newf("start entries", KindSetup, "not ready within %v", readyTime)
	}
	began := time.Now()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	for n := range uint64(callers) {
		group.Go(func() { newCaller(rand.New(rand.NewPCG(seed, n)), w, list, b).run(load) })
	}
	var mu sync.Mutex
	t := &trouble{random: rand.New(rand.NewPCG(seed, 1000)), world: w, entries: list, note: func(what, where string) {
		mu.Lock()
		defer mu.Unlock()
		report.Faults = append(report.Faults, fmt.Sprintf("%.2f %s %s", time.Since(began).Seconds(), what, where))
	}}
	t.run(began.Add(length))
	if !serves(ctx, w, list, recovery) {
		report.Broken = append(report.Broken, fmt.Sprintf("not served within %v after the last fault", recovery))
	}
	over := time.Now()
	time.Sleep(recovery / 4)
	stop()
	group.Wait()
	report.judge(b.all(), w, over)
	return report, nil
}

// serves waits until each entry serves a request of each kind.
func serves(ctx context.Context, w *world, list []*process, limit time.Duration) bool {
	c := newCaller(rand.New(rand.NewPCG(0, 0)), w, list, &book{next: 1 << 30})
	for _, e := range list {
		for _, path := range []string{"/draft/", "/file/", "/look/"} {
			for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
				if s := c.send(ctx, e.callers, path); s.status == http.StatusOK && s.whole {
					break
				}
				if time.Since(began) > limit {
					return false
				}
			}
		}
	}
	return true
}

// judge checks what callers were told against what runners saw.
func (r *Report) judge(all []sent, w *world, over time.Time) {
	runs := map[string][]site.Run{}
	for _, p := range w.list() {
		for _, run := range p.runner.Runs() {
			id := run.Header.Get("X-Request-Id")
			runs[id] = append(runs[id], run)
			if taken, there := w.taken[run.Header.Get("X-Tenant")]; there && run.At.After(taken.Add(revoke)) {
				r.breaks("request %s ran %v after its key was taken away", id, run.At.Sub(taken))
			}
			if run.Header.Get("Authorization") != "" || run.Body != "body of "+id {
				r.breaks("request %s reached runner %s with a key or with another body", id, p.id)
			}
		}
	}
	late, ok, told := 0, 0, map[int]int{}
	for _, s := range all {
		r.Requests++
		r.judgeOne(s, len(runs[s.id]))
		if s.at.After(over) && s.status != http.StatusUnauthorized {
			late++
			told[s.status]++
			if s.status == http.StatusOK && s.whole {
				ok++
			}
		}
	}
	if float64(ok) < served*float64(late) {
		r.breaks("%d of %d requests served after the last fault, by status %v", ok, late, told)
	}
}

// promises are the statuses that say that a request has not run and never will.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// never are the statuses that these callers' requests deserve under no configuration.
var never = []int{http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge}

func (r *Report) judgeOne(s sent, runs int) {
	if once := s.path == "/file/" || s.path == "/draft/once/"; once && runs > 1 {
		r.breaks("request %s to %s ran %d times", s.id, s.path, runs)
	} else if once && runs > 0 && slices.Contains(promises, s.status) {
		r.breaks("request %s to %s ran and was told %d", s.id, s.path, s.status)
	}
	switch {
	case slices.Contains(never, s.status):
		r.breaks("request %s to %s was told %d", s.id, s.path, s.status)
	case s.status == http.StatusServiceUnavailable:
		r.Refused++
	case s.status == http.StatusOK && s.whole:
		r.Served++
		if !isWhole(s) {
			r.breaks("request %s to %s got %q as a whole answer", s.id, s.path, s.body)
		}
	}
}

// isWhole reports whether a body is all that a runner gives.
func isWhole(s sent) bool {
	if !strings.HasPrefix(s.path, "/draft/") {
		return strings.HasPrefix(s.body, "answer of desk-") && strings.HasSuffix(s.body, "\n")
	}
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", n, n)
	}
	return s.body == want.String()
}

func (r *Report) breaks(format string, details ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, details...))
}
