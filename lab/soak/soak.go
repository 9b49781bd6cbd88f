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
	callerCount = 10
	// startTimeout and recoveryTimeout bound how long an entry may take to serve a request of each type, after the
	// start and after the last fault; the time runs anew for each entry and type.
	startTimeout    = 10 * time.Second
	recoveryTimeout = 8 * time.Second
	// calmPace is by how much longer than else the pauses between faults are in a run with few of them.
	calmPace = 6
	// minServedShare is the least share of the requests sent after the last fault that must be served.
	minServedShare = 0.9
)

// Report is the result of one run.
type Report struct {
	Seed uint64
	// Requests counts the requests sent, Served those answered 200 in full, and Refused those answered 503. Faults
	// lists the injected faults, each with the seconds since the load began and its target.
	Requests, Served, Refused int
	Faults                    []string
	// Violations describes each guarantee that did not hold.
	Violations []string
}

// Option sets how a run is made.
type Option func(*options)

type options struct{ drills bool }

// Drills has the store go away and come back from copies beside the other faults.
func Drills(yes bool) Option { return func(o *options) { o.drills = yes } }

// Run starts entries, sends them load while it injects the faults drawn from seed for the given length, and checks the
// results. Logs go to a subfolder of folder. It returns a KindSetup error if the entries or the stand-ins do not start.
func Run(ctx context.Context, seed uint64, binary, folder string, length time.Duration, list ...Option) (Report, error) {
	var with options
	for _, option := range list {
		option(&with)
	}
	report := Report{Seed: seed}
	folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return report, fault.New("make folder", KindSetup, err)
	}
	bed, err := newTestbed()
	if err != nil {
		return report, err
	}
	defer bed.close()
	first, firstAt := bed.store.Copy(), time.Now()
	var processes []*process
	defer func() {
		for _, e := range processes {
			e.close()
		}
	}()
	for n := range entryCount {
		e, err := start(ctx, n, binary, folder, bed.storeAddress)
		if err != nil {
			return report, err
		}
		processes = append(processes, e)
	}
	results := &recorder{}
	if !isServing(ctx, bed, processes, startTimeout) {
		return report, fault.Newf("start entries", KindSetup, "an entry did not serve every type of request within %v", startTimeout)
	}
	start := time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	for n := range uint64(callerCount) {
		group.Go(func() { newCaller(rand.New(rand.NewPCG(seed, n)), bed, processes, results).run(loadCtx) })
	}
	report.inject(start, length, with, &injector{
		random: rand.New(rand.NewPCG(seed, 1000)), testbed: bed, entries: processes, pace: 1,
	}, &drills{random: rand.New(rand.NewPCG(seed, 2000)), testbed: bed, first: first, firstAt: firstAt})
	if !isServing(ctx, bed, processes, recoveryTimeout) {
		report.Violations = append(report.Violations,
			fmt.Sprintf("an entry did not serve every type of request within %v after the last fault", recoveryTimeout))
	}
	report.checkRegistrations(bed, processes)
	faultsEnd := time.Now()
	time.Sleep(recoveryTimeout / 4)
	stop()
	group.Wait()
	report.check(results.all(), bed, faultsEnd)
	report.checkRegressions(results.all(), processes)
	return report, nil
}

// inject injects faults for some time after start, and notes them.
func (r *Report) inject(start time.Time, length time.Duration, with options, faults *injector, d *drills) {
	var mu sync.Mutex
	faults.record = func(kind, target string) {
		mu.Lock()
		defer mu.Unlock()
		r.Faults = append(r.Faults, fmt.Sprintf("%.2f %s %s", time.Since(start).Seconds(), kind, target))
	}
	d.record = faults.record
	var group sync.WaitGroup
	if with.drills {
		// In every second run there are few other faults, as an entry that starts anew forgets what went wrong.
		if r.Seed%2 == 1 {
			faults.pace = calmPace
		}
		group.Go(func() { d.run(start.Add(length)) })
	}
	faults.run(start.Add(length))
	group.Wait()
}

// isServing reports whether each entry serves a request of each type: streaming, unsafe and safe. It polls, and gives
// up once one type fails on one entry for longer than limit. Its request IDs begin above those of the load, so that the
// two do not collide.
func isServing(ctx context.Context, bed *testbed, processes []*process, limit time.Duration) bool {
	c := newCaller(rand.New(rand.NewPCG(0, 0)), bed, processes, &recorder{lastID: 1 << 30})
	for _, e := range processes {
		for _, path := range []string{"/draft/", "/file/", "/look/"} {
			for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
				if s := c.send(ctx, e.callersAddress, path); s.status == http.StatusOK && s.complete {
					break
				}
				if time.Since(start) > limit {
					return false
				}
			}
		}
	}
	return true
}

// check compares the answers that callers received with the requests that runners received.
func (r *Report) check(all []result, bed *testbed, faultsEnd time.Time) {
	runs := map[string][]site.Run{}
	for _, p := range bed.allRunners() {
		for _, run := range p.runner.Runs() {
			id := run.Header.Get("X-Request-Id")
			runs[id] = append(runs[id], run)
			if revokedAt, there := bed.revokedAt[run.Header.Get("X-Tenant")]; there && run.At.After(revokedAt.Add(revocationLimit)) {
				r.addViolation("request %s ran %v after its key was revoked", id, run.At.Sub(revokedAt))
			}
			if run.Header.Get("Authorization") != "" || run.Body != "body of "+id {
				r.addViolation("request %s reached runner %s with the caller's key or with a different body", id, p.id)
			}
		}
	}
	afterFaults, servedAfter, byStatus := 0, 0, map[int]int{}
	for _, s := range all {
		r.Requests++
		r.checkResult(s, len(runs[s.id]))
		if s.sentAt.After(faultsEnd) && s.status != http.StatusUnauthorized {
			afterFaults++
			byStatus[s.status]++
			if s.status == http.StatusOK && s.complete {
				servedAfter++
			}
		}
	}
	if float64(servedAfter) < minServedShare*float64(afterFaults) {
		r.addViolation("%d of %d requests served after the last fault, by status %v", servedAfter, afterFaults, byStatus)
	}
}

// notExecuted are the statuses that tell the caller that its request has not run and will not run.
var notExecuted = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// unexpected are the statuses that must not occur: the callers' requests are valid under every configuration of a run.
var unexpected = []int{http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge}

func (r *Report) checkResult(s result, runs int) {
	if runsOnce := s.path == "/file/" || s.path == "/draft/once/"; runsOnce && runs > 1 {
		r.addViolation("request %s to %s ran %d times", s.id, s.path, runs)
	} else if runsOnce && runs > 0 && slices.Contains(notExecuted, s.status) {
		r.addViolation("request %s to %s ran but was answered %d", s.id, s.path, s.status)
	}
	switch {
	case slices.Contains(unexpected, s.status):
		r.addViolation("request %s to %s was answered %d, which no configuration of the run allows", s.id, s.path, s.status)
	case s.status == http.StatusServiceUnavailable:
		r.Refused++
	case s.status == http.StatusOK && s.complete:
		r.Served++
		if !hasFullBody(s) {
			r.addViolation("request %s to %s got %q as a complete answer", s.id, s.path, s.body)
		}
	}
}

// hasFullBody reports whether the body is the complete answer of a runner: all events of a
// stream in order, or the text of a desk runner up to its final newline.
func hasFullBody(s result) bool {
	if !strings.HasPrefix(s.path, "/draft/") {
		return strings.HasPrefix(s.body, "answer of desk-") && strings.HasSuffix(s.body, "\n")
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", n, n)
	}
	return s.body == want.String()
}

func (r *Report) addViolation(format string, details ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, details...))
}
