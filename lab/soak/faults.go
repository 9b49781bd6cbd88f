package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// injector injects random faults, which may overlap.
type injector struct {
	random  *rand.Rand
	testbed *testbed
	entries []*process
	record  func(kind, target string)
	// pace is by what the pauses between faults are multiplied.
	pace  int
	group sync.WaitGroup
}

// maxFaultTime bounds the duration of a fault that is undone.
const maxFaultTime = 3 * time.Second

// run injects faults until end, and returns once all faults with a duration are undone.
func (i *injector) run(end time.Time) {
	for time.Now().Before(end) {
		i.injectOne()
		time.Sleep(time.Duration(i.pace*(100+i.random.IntN(900))) * time.Millisecond)
	}
	i.group.Wait()
}

// undoLater calls undo after a random time below maxFaultTime.
func (i *injector) undoLater(undo func()) {
	d := time.Duration(i.random.Int64N(int64(maxFaultTime)))
	i.group.Go(func() {
		time.Sleep(d)
		undo()
	})
}

var runnerFaults = []site.Fault{
	site.FaultShed, site.FaultNoAnswer, site.FaultTruncated, site.FaultError, site.FaultWrongID, site.FaultUnsealed, site.FaultUnframed,
}

// injectOne injects one random fault into a runner, an entry or the store.
func (i *injector) injectOne() {
	runners := i.testbed.allRunners()
	p, e := runners[i.random.IntN(len(runners))], i.entries[i.random.IntN(len(i.entries))]
	switch i.random.IntN(13) {
	case 0:
		i.record("killed", e.name)
		e.signal(syscall.SIGKILL)
	case 1:
		i.record("stopped in order", e.name)
		e.signal(syscall.SIGTERM)
		e.signal(syscall.SIGHUP)
	case 2:
		i.record("paused", e.name)
		e.signal(syscall.SIGSTOP)
		i.undoLater(func() { e.signal(syscall.SIGCONT) })
	case 3, 4:
		f := runnerFaults[i.random.IntN(len(runnerFaults))]
		i.record(string(f), p.id)
		p.runner.SetFault(f)
		i.undoLater(func() { p.runner.SetFault(site.FaultNone) })
	case 5:
		i.record("silenced", p.id)
		p.relay.Blackhole()
	case 6:
		i.record("reset", p.id)
		p.relay.Reset()
	case 7:
		i.record("answers lost", p.id)
		p.relay.DropResponses()
	case 8:
		i.record("delayed", p.id)
		p.relay.SetDelay(time.Duration(i.random.IntN(200)) * time.Millisecond)
		i.undoLater(func() { p.relay.SetDelay(0) })
	case 9:
		i.injectStoreFault(e)
	case 10:
		i.record("key moved", "store")
		i.testbed.rotateKey()
	case 11:
		i.replaceRunner(p)
	case 12:
		i.record("history dropped", "store")
		i.testbed.store.Compact()
	}
}

// injectStoreFault makes the store fail for all entries, or the connections to it for one entry.
func (i *injector) injectStoreFault(e *process) {
	switch i.random.IntN(4) {
	case 0:
		i.record("refuses", "store")
		i.testbed.store.SetErrorStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[i.random.IntN(2)])
		i.undoLater(func() { i.testbed.store.SetErrorStatus(0) })
	case 1:
		i.record("silent", "store")
		i.testbed.store.SetUnresponsive(true)
		i.undoLater(func() { i.testbed.store.SetUnresponsive(false) })
	case 2:
		i.record("silent to", e.name)
		e.store.Blackhole()
	case 3:
		i.record("reset to", e.name)
		e.store.Reset()
	}
}

// replaceRunner registers a runner as draining, starts another one for its service, and deregisters the first after a
// random time.
func (i *injector) replaceRunner(p *proxiedRunner) {
	if p.replaced {
		return
	}
	p.replaced = true
	i.record("replaced", p.id)
	i.testbed.register(p, "draining")
	if err := i.testbed.addRunner(p.service); err != nil {
		i.record(err.Error(), p.id)
		return
	}
	i.undoLater(func() { i.testbed.deregister(p) })
}
