package drill

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/position"
)

// The times of package follower and sourcer, and of the entries' watches.
const (
	longWait     = 15 * time.Second
	relayWait    = 900 * time.Millisecond
	configWait   = 510 * time.Millisecond
	copyWait     = 2 * time.Second
	fallbackWait = 900 * time.Millisecond
	refreshWait  = 10 * time.Millisecond
	batchDelay   = 300 * time.Millisecond
	minPause     = 50 * time.Millisecond
	maxPause     = 400 * time.Millisecond
	linkedPause  = 2 * time.Second
)

// reader follows one kind of objects for an entry, as package follower does.
type reader struct {
	entry *entry
	kind  kind
	at    position.Position
	pause time.Duration
	// pending is the watch in progress, which refresh may end, and call tells answers to it from those to earlier ones.
	pending   *watch
	call      int
	isWanted  bool
	isExpired bool
}

// refresh ends the watch in progress and has the store be asked at once; without one, it does so to the next one.
func (r *reader) refresh() {
	r.isWanted = true
	if r.pending == nil {
		return
	}
	r.pending.done, r.pending = true, nil
	r.call++
	r.watch()
}

// list reads all objects, of the parent's copy if there is one and else of the store.
func (r *reader) list() {
	w, parent := r.entry.world, r.entry.parent()
	w.transmit(func() {
		h, at := w.store[r.kind], w.position()
		isCopy := parent != nil
		if isCopy {
			h = parent.copies[r.kind]
			at = h.asOf
		} else {
			w.reads = append(w.reads, w.now)
			if w.isDown {
				w.transmit(r.fail)
				return
			}
		}
		h = h.cloned()
		w.transmit(func() { r.take(h, at, isCopy) })
	})
}

// take takes in a listing, and goes on with the changes since.
func (r *reader) take(h *holding, at position.Position, isCopy bool) {
	e := r.entry
	e.listed(r.kind, h, at, isCopy)
	own := e.copies[r.kind]
	if at.Era >= own.asOf.Era && (!isCopy || !at.IsBefore(own.asOf)) {
		h.asOf, h.since, h.changes = at, at, nil
		waiting := own.waiting
		e.copies[r.kind] = h
		for _, watch := range waiting {
			e.evaluate(h, watch)
		}
	}
	r.at = at
	r.watch()
}

// evaluate answers a watch of a copy, or has it wait.
func (e *entry) evaluate(h *holding, watch *watch) {
	if watch.done {
		return
	}
	o := h.changesAfter(watch.after, h.asOf, false)
	if !o.expired && len(o.changes) == 0 {
		h.waiting = append(h.waiting, watch)
		return
	}
	watch.done = true
	watch.answer(o)
}

// wait returns how long the next watch may wait.
func (r *reader) wait() time.Duration {
	isRelay := r.entry.state.IsRelay(r.entry.world.now)
	switch {
	case isRelay && r.kind == kindConfig:
		return configWait
	case isRelay && r.kind == kindRunners:
		return relayWait
	}
	return longWait
}

// watch asks for the changes since the last call.
func (r *reader) watch() {
	w, parent, wait := r.entry.world, r.entry.parent(), r.wait()
	isCopy := parent != nil && !r.isWanted
	if r.isWanted {
		wait, r.isWanted = refreshWait, false
	} else if isCopy {
		wait = min(wait, copyWait)
	}
	r.call++
	call := r.call
	watched := &watch{after: r.at}
	watched.answer = func(o outcome) {
		w.transmit(func() {
			if call != r.call {
				return
			}
			r.pending = nil
			r.receive(o, isCopy)
		})
	}
	if wait != refreshWait {
		r.pending = watched
	}
	w.transmit(func() {
		switch {
		case watched.done:
			return
		case isCopy:
			r.entry.evaluate(parent.copies[r.kind], watched)
		case w.isDown:
			w.reads = append(w.reads, w.now)
			watched.done = true
			watched.answer(outcome{failed: true})
		default:
			w.reads = append(w.reads, w.now)
			w.evaluate(w.store[r.kind], watched)
		}
	})
	w.after(wait, func() {
		if watched.done {
			return
		}
		watched.done = true
		at := position.Max(w.position(), r.at)
		if isCopy {
			at = position.Max(parent.copies[r.kind].asOf, r.at)
		}
		watched.answer(outcome{at: at})
	})
}

// receive takes in the answer to a watch.
func (r *reader) receive(o outcome, isCopy bool) {
	w, e := r.entry.world, r.entry
	switch {
	case o.failed:
		r.fail()
		return
	case o.expired && !r.isExpired:
		r.isExpired = true
		r.list()
		return
	case o.expired:
		r.fail()
		return
	}
	r.pause, r.isExpired = minPause, false
	e.changed(r.kind, o, isCopy)
	if own := e.copies[r.kind]; own.asOf.IsSameEra(o.at) && own.asOf.IsBefore(o.at) {
		own.asOf = o.at
		waiting := own.waiting
		own.waiting = nil
		for _, c := range o.changes {
			c.at = o.at
			own.change(c)
		}
		for _, watch := range waiting {
			e.evaluate(own, watch)
		}
	}
	r.at = o.at
	if len(o.changes) > 0 {
		w.after(batchDelay/2+time.Duration(w.random.Int64N(int64(batchDelay/2))), r.watch)
		return
	}
	r.watch()
}

// fail pauses before all objects are listed once more.
func (r *reader) fail() {
	w := r.entry.world
	if r.kind == kindRunners {
		r.entry.unreachable()
	}
	w.after(r.pause/2+time.Duration(w.random.Int64N(int64(r.pause/2))), r.list)
	longest := maxPause
	if r.entry.isLinked() {
		longest = linkedPause
	}
	r.pause = min(2*r.pause, longest)
}
