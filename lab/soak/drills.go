package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

const (
	// maxCopyAge is how old the copy is at most from which the store comes back, maxAway how long it is away, and maxRewriteDelay how
	// long operators and runners take to write again what was lost.
	maxCopyAge      = 3 * time.Second
	maxAway         = 1200 * time.Millisecond
	maxRewriteDelay = 1500 * time.Millisecond
	// readTime is how long entries may take to read a new version of the configuration. One that is lost before may be unknown to all.
	readTime = 1500 * time.Millisecond
	// registerTime is how soon after the store's return all entries must be registered again.
	registerTime = 5 * time.Second
	// kindEntries is the kind of the entries' registrations.
	kindEntries = "kingcup-entries"
)

// drills has the store go away and come back from a copy, again and again.
type drills struct {
	random  *rand.Rand
	testbed *testbed
	record  func(kind, target string)
	// first is the copy for the first drill, which lacks the registrations of all entries.
	first   site.Copy
	firstAt time.Time
}

// run plays drills until end, some of them right after each other.
func (d *drills) run(end time.Time) {
	for {
		if d.random.IntN(3) > 0 {
			d.pause(2 * time.Second)
		}
		if !time.Now().Before(end) {
			return
		}
		d.play()
	}
}

// play plays one drill.
func (d *drills) play() {
	t := d.testbed
	held, heldAt := d.first, d.firstAt
	if heldAt.IsZero() {
		held, heldAt = t.store.Copy(), time.Now()
	}
	d.firstAt = time.Time{}
	d.pause(maxCopyAge)
	d.record("away", "store")
	goneAt := time.Now()
	t.store.SetAway(true)
	d.pause(maxAway)
	t.store.Restore(held)
	t.store.SetAway(false)
	d.record("back from a copy of "+time.Since(heldAt).Round(10*time.Millisecond).String()+" ago", "store")
	d.pause(maxRewriteDelay)
	t.rewrite(maxTime(heldAt, goneAt.Add(-readTime)))
	d.record("written again", "store")
}

func (d *drills) pause(most time.Duration) { time.Sleep(time.Duration(d.random.Int64N(int64(most)))) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkRegistrations notes a violation unless all entries are registered, and named by each other's lookups, in time.
func (r *Report) checkRegistrations(bed *testbed, processes []*process) {
	names := make([]string, 0, len(processes))
	for _, e := range processes {
		names = append(names, e.name)
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		registered := bed.store.Names(kindEntries)
		isMissing := func(name string) bool { return !slices.Contains(registered, name) }
		missing := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isMissing(name) })
		if len(missing) == 0 {
			return
		}
		if time.Since(start) > registerTime {
			r.addViolation("entries %v are not registered %v after the last fault", missing, registerTime)
			return
		}
	}
}

// checkRegressions notes a violation for each request that ran with a key although its entry had taken the next one before, in the same
// run of its process.
func (r *Report) checkRegressions(all []result, processes []*process) {
	for _, e := range processes {
		starts := e.startTimes()
		incarnation := func(at time.Time) int {
			n, _ := slices.BinarySearchFunc(starts, at, time.Time.Compare)
			return n
		}
		highest, since := map[int]int{}, map[int]time.Time{}
		for _, s := range all {
			n := incarnation(s.sentAt)
			if s.address != e.callersAddress || s.status != http.StatusOK || n != incarnation(s.endedAt) {
				continue
			}
			switch {
			case s.account > highest[n] || since[n].IsZero():
				highest[n], since[n] = s.account, s.endedAt
			case s.account < highest[n] && s.sentAt.After(since[n]):
				r.addViolation("request %s ran with the key of account %d at %s, which had taken that of account %d %v before",
					s.id, s.account, e.name, highest[n], s.sentAt.Sub(since[n]))
			}
		}
	}
}
