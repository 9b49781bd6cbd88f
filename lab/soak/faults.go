package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// trouble brings faults in series that overlap.
type trouble struct {
	random  *rand.Rand
	world   *world
	entries []*process
	note    func(what, where string)
	group   sync.WaitGroup
}

// longest is the longest time that one fault lasts.
const longest = 3 * time.Second

// run brings faults until a time, and returns once all are over.
func (t *trouble) run(until time.Time) {
	for time.Now().Before(until) {
		t.one()
		time.Sleep(time.Duration(100+t.random.IntN(900)) * time.Millisecond)
	}
	t.group.Wait()
}

// during undoes something after a random time.
func (t *trouble) during(undo func()) {
	d := time.Duration(t.random.Int64N(int64(longest)))
	t.group.Go(func() {
		time.Sleep(d)
		undo()
	})
}

var faults = []site.Fault{
	site.FaultShed, site.FaultMute, site.FaultCut, site.FaultError, site.FaultForeign, site.FaultUnsealed, site.FaultUnframed,
}

// one brings one fault.
func (t *trouble) one() {
	places := t.world.list()
	p, e := places[t.random.IntN(len(places))], t.entries[t.random.IntN(len(t.entries))]
	switch t.random.IntN(13) {
	case 0:
		t.note("killed", e.name)
		e.signal(syscall.SIGKILL)
	case 1:
		t.note("stopped in order", e.name)
		e.signal(syscall.SIGTERM)
		e.signal(syscall.SIGHUP)
	case 2:
		t.note("paused", e.name)
		e.signal(syscall.SIGSTOP)
		t.during(func() { e.signal(syscall.SIGCONT) })
	case 3, 4:
		f := faults[t.random.IntN(len(faults))]
		t.note(string(f), p.id)
		p.runner.Fail(f)
		t.during(func() { p.runner.Fail(site.FaultNone) })
	case 5:
		t.note("silenced", p.id)
		p.relay.Silence()
	case 6:
		t.note("reset", p.id)
		p.relay.Reset()
	case 7:
		t.note("answers lost", p.id)
		p.relay.Mute()
	case 8:
		t.note("delayed", p.id)
		p.relay.Delay(time.Duration(t.random.IntN(200)) * time.Millisecond)
		t.during(func() { p.relay.Delay(0) })
	case 9:
		t.store(e)
	case 10:
		t.note("key moved", "store")
		t.world.rotate()
	case 11:
		t.replace(p)
	case 12:
		t.note("history dropped", "store")
		t.world.store.Compact()
	}
}

// store makes the store fail for all entries or for one.
func (t *trouble) store(e *process) {
	switch t.random.IntN(4) {
	case 0:
		t.note("refuses", "store")
		t.world.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[t.random.IntN(2)])
		t.during(func() { t.world.store.Refuse(0) })
	case 1:
		t.note("silent", "store")
		t.world.store.Silence(true)
		t.during(func() { t.world.store.Silence(false) })
	case 2:
		t.note("silent to", e.name)
		e.store.Silence()
	case 3:
		t.note("reset to", e.name)
		e.store.Reset()
	}
}

// replace registers a runner as leaving, starts another one, and removes the first a little later.
func (t *trouble) replace(p *place) {
	if p.replaced {
		return
	}
	p.replaced = true
	t.note("replaced", p.id)
	t.world.register(p, "draining")
	if err := t.world.add(p.service); err != nil {
		t.note(err.Error(), p.id)
		return
	}
	t.during(func() { t.world.store.Remove("servers", p.id) })
}
