package drill

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// entry is one entry: its control state, what it reads, and the copies that it serves.
type entry struct {
	world   *world
	self    peer.Peer
	state   overseer.State
	readers map[kind]*reader
	copies  map[kind]*holding
	round   int
	// currentAt is when it first knew the last changes, and registeredAt when it last wrote its registration.
	currentAt, registeredAt time.Duration
	isRegistering           bool
}

// maxStaleness is how old the configuration may be to judge keys.
const maxStaleness = 3 * time.Second

func newEntry(w *world, self peer.Peer) *entry {
	return &entry{
		world: w, self: self, state: overseer.New(self, overseer.MaxStaleness(maxStaleness)),
		readers: map[kind]*reader{}, copies: map[kind]*holding{},
	}
}

// begin has the entry know all that the store holds, and follow it.
func (e *entry) begin() {
	for _, k := range kinds {
		r := &reader{entry: e, kind: k, pause: minPause}
		e.readers[k] = r
		h := e.world.store[k]
		e.listed(k, h, e.world.position(), false)
		r.at = e.world.position()
		e.copies[k] = h.cloned()
		e.copies[k].asOf, e.copies[k].since = r.at, r.at
		e.world.after(time.Duration(e.world.random.Int64N(int64(relayWait))), r.watch)
	}
	var tick, beat func()
	tick = func() {
		e.apply(overseer.Tick{At: e.world.now})
		e.world.after(tickInterval, tick)
	}
	beat = func() {
		e.beat()
		e.world.after(e.state.LinkInterval(), beat)
	}
	e.world.after(time.Duration(e.world.random.Int64N(int64(tickInterval))), tick)
	e.world.after(time.Duration(e.world.random.Int64N(int64(2*tickInterval))), beat)
}

// apply applies an event to the control state and carries out the effects.
func (e *entry) apply(ev overseer.Event) {
	var effects []overseer.Effect
	e.state, effects = overseer.Step(e.state, ev)
	for _, effect := range effects {
		switch f := effect.(type) {
		case overseer.Refresh:
			for k, is := range map[kind]bool{kindConfig: f.Config, kindRunners: f.Runners, kindEntries: f.Entries} {
				if is {
					e.readers[k].refresh()
				}
			}
		case overseer.Register:
			if !e.isRegistering {
				e.isRegistering = true
				e.register()
			}
		}
	}
	if e.currentAt == 0 && e.world.now >= changedAt && isCurrent(e.state) {
		e.currentAt = e.world.now
	}
}

// register writes the entry's registration, again and again until that succeeds.
func (e *entry) register() {
	w := e.world
	w.transmit(func() {
		w.writes = append(w.writes, w.now)
		if w.isDown || peak(w.writes, w.now-time.Second, w.now+1) > WritesPerSecond {
			w.after(registerPause, e.register)
			return
		}
		w.write(kindEntries, record{name: e.self.Name})
		e.isRegistering, e.registeredAt = false, w.now
	})
}

// beat sends heartbeats as entries do: to those that are linked each time, to others in some rounds.
func (e *entry) beat() {
	w, s := e.world, e.state
	to := s.Linked(w.now)
	e.round++
	rounds := max(1, int(s.HeartbeatInterval()/s.LinkInterval()))
	for _, p := range s.Peers() {
		if (e.round+int(runner.Key(p.Name)))%rounds == 0 {
			to = append(to, p)
		}
	}
	for address, b := range s.HeartbeatsTo(to, nil, w.now) {
		receiver := w.byName[address[:len(address)-2]]
		if receiver == nil || w.random.Float64() < lossRate {
			continue
		}
		w.transmit(func() { receiver.apply(overseer.HeartbeatReceived{Heartbeat: b, At: w.now}) })
	}
}

// parent returns the entry whose copies this one reads, nil if it reads the store.
func (e *entry) parent() *entry {
	parents := e.state.Parents(e.world.now)
	if len(parents) == 0 {
		return nil
	}
	return e.world.byName[parents[int(runner.Key(e.self.Name))%len(parents)].Name]
}

// isLinked reports whether the entry learns from others when the store is back.
func (e *entry) isLinked() bool { return e.state.IsLinked() && !e.state.IsRoot(e.world.now) }

// listed passes a listing to the control state.
func (e *entry) listed(k kind, h *holding, at position.Position, isCopy bool) {
	now := e.world.now
	switch k {
	case kindConfig:
		asked := now
		if isCopy {
			asked = 0
		}
		for _, r := range h.objects {
			e.apply(overseer.ConfigReceived{Table: r.table(), RequestedAt: asked})
		}
	case kindRunners:
		list := make([]runner.Runner, 0, len(h.objects))
		for _, r := range h.objects {
			list = append(list, r.runner())
		}
		e.apply(overseer.RunnersListed{Runners: list, Position: at, Unconfirmed: isCopy, At: now})
	case kindEntries:
		list := make([]peer.Peer, 0, len(h.objects))
		for name := range h.objects {
			list = append(list, e.world.registration(name))
		}
		e.apply(overseer.PeersListed{Peers: list, Position: at, Unconfirmed: isCopy, At: now})
	}
}

// changed passes changes to the control state.
func (e *entry) changed(k kind, o outcome, isCopy bool) {
	now := e.world.now
	switch k {
	case kindConfig:
		asked := now
		if isCopy {
			asked = 0
		}
		for _, r := range o.changes {
			e.apply(overseer.ConfigReceived{Table: r.table(), RequestedAt: asked})
		}
		if len(o.changes) == 0 && !isCopy {
			e.apply(overseer.ConfigConfirmed{RequestedAt: asked})
		}
	case kindRunners:
		ev := overseer.RunnersChanged{Position: o.at, At: now}
		for _, r := range o.changes {
			ev.Changes = append(ev.Changes, listing.Change[runner.Runner]{
				Name: r.name, Position: r.at, Removed: r.removed, Valid: true, Item: r.runner(),
			})
		}
		e.apply(ev)
	case kindEntries:
		ev := overseer.PeersChanged{Position: o.at, At: now}
		for _, r := range o.changes {
			p := e.world.registration(r.name)
			ev.Changes = append(ev.Changes, listing.Change[peer.Peer]{Name: r.name, Position: r.at, Removed: r.removed, Valid: true, Item: p})
		}
		e.apply(ev)
	}
}

// registration returns the registration of an entry.
func (w *world) registration(name string) peer.Peer {
	if e := w.byName[name]; e != nil {
		return e.self
	}
	return peer.Peer{Name: name}
}

// unreachable tells the control state that the store does not answer.
func (e *entry) unreachable() { e.apply(overseer.StoreUnreachable{At: e.world.now}) }
