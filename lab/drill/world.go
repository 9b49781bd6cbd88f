package drill

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// The course of a drill, from the start of the simulation.
const (
	copiedAt = 2 * time.Second
	goneAt   = 5 * time.Second
	backAt   = 6 * time.Second
	// rewrittenAt is when operators and runners write again what was lost, and changedAt when they write something new.
	rewrittenAt = backAt + 100*time.Millisecond
	changedAt   = backAt + 500*time.Millisecond
	endAt       = changedAt + 8*time.Second
	// otherWrites is the interval between writes of objects of other kinds, which only raise the revision.
	otherWrites = 10 * time.Millisecond
	// latency is the longest time that a call, or an answer, takes on the way.
	latency      = 4 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// registerPause is the pause after a registration that failed.
	registerPause = 300 * time.Millisecond
	// lossRate is the share of heartbeats that are lost.
	lossRate = 0.025
)

// kind is a kind of stored objects.
type kind string

const (
	kindConfig  kind = "config"
	kindRunners kind = "runners"
	kindEntries kind = "entries"
)

var kinds = []kind{kindConfig, kindRunners, kindEntries}

// record is the last change of one object.
type record struct {
	name    string
	at      position.Position
	removed bool
	// version is that of a configuration, and leaving the state of a runner.
	version uint64
	leaving bool
}

// holding is the objects of one kind as the store, or a copy, holds them.
type holding struct {
	// asOf is up to where they are known, and since from where on the changes are kept.
	asOf, since position.Position
	objects     map[string]record
	changes     []record
	waiting     []*watch
}

// watch is a call that waits for changes after a position.
type watch struct {
	after position.Position
	done  bool
	// answer is called once, unless the watch is done before.
	answer func(outcome)
}

// outcome is the result of a call: a failure, the end of a history, or changes up to a position.
type outcome struct {
	failed, expired bool
	changes         []record
	at              position.Position
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a store and the entries that read it.
type world struct {
	random *rand.Rand
	now    time.Duration
	queue  events
	order  int
	// tells says that the store tells its era.
	tells    bool
	era      uint64
	revision uint64
	isDown   bool
	store    map[kind]*holding
	entries  []*entry
	byName   map[string]*entry
	reads    []time.Duration
	writes   []time.Duration
}

// Scenario is what a drill is played with.
type Scenario struct {
	// Entries is how many there are, and LosesOneIn says of how many registrations one is lost.
	Entries, LosesOneIn int
	Seed                uint64
	// HasEras says that the store tells its era.
	HasEras bool
}

// Run plays a drill.
func Run(s Scenario) Result {
	w := &world{
		random: rand.New(rand.NewPCG(s.Seed, uint64(s.Entries))), tells: s.HasEras, era: 1, revision: 100,
		store: map[kind]*holding{}, byName: map[string]*entry{},
	}
	for _, k := range kinds {
		w.store[k] = &holding{objects: map[string]record{}}
	}
	w.write(kindConfig, record{name: "main", version: 10})
	for i := range 4 {
		w.write(kindRunners, record{name: fmt.Sprint("r-", i)})
	}
	w.addEntries(s.Entries)
	w.play(s.LosesOneIn)
	for len(w.queue) > 0 && w.queue[0].at < endAt {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w.result()
}

// after has something happen after a time.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

// transmit has something happen after the time that a message is on the way.
func (w *world) transmit(do func()) {
	w.after(latency/2+time.Duration(w.random.Int64N(int64(latency/2))), do)
}

// position returns the store's latest position, as its answers tell it.
func (w *world) position() position.Position {
	if w.tells {
		return position.New(w.era, w.revision)
	}
	return position.New(0, w.revision)
}

// write writes an object to the store and answers those who wait for it.
func (w *world) write(k kind, r record) {
	w.revision++
	r.at = w.position()
	h := w.store[k]
	h.change(r)
	waiting := h.waiting
	h.waiting = nil
	for _, watch := range waiting {
		w.evaluate(h, watch)
	}
}

// change applies a change.
func (h *holding) change(r record) {
	if r.removed {
		delete(h.objects, r.name)
	} else {
		h.objects[r.name] = r
	}
	h.changes = append(h.changes, r)
}

// evaluate answers a watch of the store, or has it wait.
func (w *world) evaluate(h *holding, watch *watch) {
	if watch.done {
		return
	}
	o := h.changesAfter(watch.after, w.position(), true)
	if !o.expired && len(o.changes) == 0 {
		h.waiting = append(h.waiting, watch)
		return
	}
	watch.done = true
	watch.answer(o)
}

// changesAfter returns the changes after a position. A store has expired positions that it does not have yet, a copy is behind them.
func (h *holding) changesAfter(after, asOf position.Position, isStore bool) outcome {
	if !after.IsSameEra(asOf) || after.IsBefore(h.since) || isStore && asOf.IsBefore(after) {
		return outcome{expired: true}
	}
	o := outcome{at: position.Max(asOf, after)}
	for i := len(h.changes) - 1; i >= 0 && after.IsBefore(h.changes[i].at); i-- {
		o.changes = append([]record{h.changes[i]}, o.changes...)
	}
	return o
}

// cloned returns the holding without those who wait.
func (h *holding) cloned() *holding {
	next := &holding{asOf: h.asOf, since: h.since, objects: map[string]record{}}
	for name, r := range h.objects {
		next.objects[name] = r
	}
	next.changes = append(next.changes, h.changes...)
	return next
}

// play schedules the drill: writes that are lost, one in some of the entries' registrations among them, the outage, and what is written
// again.
func (w *world) play(losesOneIn int) {
	var copied map[kind]*holding
	var revision uint64
	w.after(copiedAt, func() {
		revision, copied = w.revision, map[kind]*holding{}
		for _, k := range kinds {
			copied[k] = w.store[k].cloned()
		}
		for i, e := range w.entries {
			if i%losesOneIn == losesOneIn/2 {
				delete(copied[kindEntries].objects, e.self.Name)
			}
		}
		w.write(kindConfig, record{name: "main", version: 11})
		w.write(kindRunners, record{name: "r-0", leaving: true})
		w.write(kindRunners, record{name: "r-new"})
	})
	var bump func()
	bump = func() {
		if !w.isDown {
			w.revision++
		}
		w.after(otherWrites, bump)
	}
	bump()
	w.after(goneAt, func() {
		w.isDown = true
		for _, k := range kinds {
			for _, watch := range w.store[k].waiting {
				if !watch.done {
					watch.done = true
					watch.answer(outcome{failed: true})
				}
			}
			w.store[k].waiting = nil
		}
	})
	w.after(backAt, func() {
		w.isDown, w.era, w.revision, w.store = false, w.era+1, revision, copied
		if w.tells {
			// The history up to the copy is part of the new era.
			for _, h := range w.store {
				h.relabel(w.era)
			}
		}
	})
	w.after(rewrittenAt, func() {
		w.write(kindConfig, record{name: "main", version: 11})
		w.write(kindRunners, record{name: "r-0", leaving: true})
		w.write(kindRunners, record{name: "r-new"})
	})
	w.after(changedAt, func() {
		w.write(kindConfig, record{name: "main", version: 12})
		w.write(kindRunners, record{name: "r-2", leaving: true})
	})
}

// relabel gives all positions another era.
func (h *holding) relabel(era uint64) {
	h.asOf.Era, h.since.Era = era, era
	for i := range h.changes {
		h.changes[i].at.Era = era
	}
	for name, r := range h.objects {
		r.at.Era = era
		h.objects[name] = r
	}
}

// addEntries adds entries that know each other and all that the store holds.
func (w *world) addEntries(n int) {
	list := make([]peer.Peer, 0, n)
	for i := range n {
		name := fmt.Sprintf("e-%07d", w.random.IntN(10_000)*1000+i)
		p := peer.Peer{Name: name, Start: 7, Centre: fmt.Sprint("z-", i%11), Region: fmt.Sprint("r-", i%4)}
		p.Callers, p.Beats = p.Name+":1", p.Name+":2"
		list = append(list, p)
		w.write(kindEntries, record{name: p.Name})
	}
	for _, p := range list {
		e := newEntry(w, p)
		w.entries, w.byName[p.Name] = append(w.entries, e), e
	}
	for _, e := range w.entries {
		e.begin()
	}
}

func (w *world) result() Result {
	r := Result{
		Reads: peak(w.reads, backAt, endAt), Writes: peak(w.writes, backAt, endAt), ReadsBefore: peak(w.reads, time.Second, goneAt),
	}
	for _, e := range w.entries {
		if e.currentAt == 0 {
			r.Behind++
		}
		r.Current = max(r.Current, e.currentAt-changedAt)
		if _, found := w.store[kindEntries].objects[e.self.Name]; !found {
			r.Missing++
		}
		r.Registered = max(r.Registered, e.registeredAt-backAt)
	}
	return r
}

// table returns the configuration that a record holds.
func (r record) table() routing.Table { return routing.NewTable(r.version, routing.At(r.at)) }

// runner returns the runner that a record holds.
func (r record) runner() runner.Runner {
	state := runner.StateReady
	if r.leaving {
		state = runner.StateLeaving
	}
	return runner.New(r.name, "pool", "h:1", runner.InState(state), runner.StartedAt(1))
}

// isCurrent reports whether an entry's state shows the last changes.
func isCurrent(s overseer.State) bool {
	t, _ := s.Table()
	r, found := s.Runners().Runner("r-2")
	return t.Version() == 12 && found && !r.IsReady()
}
