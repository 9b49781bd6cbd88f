package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Step returns the state after an event, and what has to be done.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case Tick:
		return s.tick(e.At)
	case Ranked:
		return s.ranked(e), nil
	case Reported:
		return s.reported(e)
	case Missed:
		v := s.views[e.Runner]
		v.busy = 0
		return s.withView(e.Runner, v), nil
	case Verified:
		return s.verified(e)
	case Counted:
		return s.countedAt(e)
	}
	return s, nil
}

func (s State) ranked(e Ranked) State {
	views := map[string]view{}
	for _, r := range e.Runners {
		views[r] = s.views[r]
	}
	views[s.self] = s.views[s.self]
	changed := s.shape.Sets != e.Shape.Sets || s.shape.Experts != e.Shape.Experts
	s.runners, s.views, s.shape = e.Runners, views, e.Shape
	if changed {
		s.demand = leveler.NewDemand(e.Shape.Sets, e.Shape.Experts)
		s.window = nil
	}
	return s
}

// reported takes in a report that is not older than the one before.
func (s State) reported(e Reported) (State, []Effect) {
	v := s.views[e.Runner]
	v.busy = 0
	if v.known && isOlder(e.Report, v.report) {
		return s.withView(e.Runner, v), nil
	}
	if v.report.Epoch != e.Report.Epoch {
		v.whole = 0
	}
	v.report, v.known, v.heard, v.whole = e.Report, true, e.At, max(v.whole, e.Whole)
	s = s.withView(e.Runner, v)
	return s.advance(e.At)
}

func (s State) verified(e Verified) (State, []Effect) {
	v := s.views[e.Runner]
	v.busy, v.holdings, v.holding = 0, e.Holdings, v.report.Epoch
	return s.withView(e.Runner, v).advance(e.At)
}

// tick asks whoever has not been heard for a while and lets a switch go on.
func (s State) tick(now time.Duration) (State, []Effect) {
	var effects []Effect
	s, effects = s.ask(s.self, now, s.pace(), effects)
	own := s.views[s.self]
	if !own.known || own.report.Group == "" {
		return s, effects
	}
	leading := s.IsLeading()
	s = s.watch(now)
	helping := !leading && s.isSilent(now)
	if !leading && !helping {
		s.phase = PhaseIdle
		return s, effects
	}
	if now-s.learnt >= learnEvery || len(s.runners) == 0 && now-s.learnt >= restEvery {
		s.learnt = now
		effects = append(effects, Learn{})
	}
	pace := s.pace()
	for _, r := range s.runners {
		s, effects = s.ask(r, now, pace, effects)
	}
	s, more := s.advance(now)
	effects = append(effects, more...)
	if s.isStrange() {
		s.layout = nil
	}
	if leading && s.layout == nil {
		s, effects = s.learnLayout(now, effects)
	}
	if leading && now-s.counted >= countEvery {
		s, more = s.look(now)
		effects = append(effects, more...)
	}
	return s, effects
}

// pace returns how often ranks are asked: often while something is under way.
func (s State) pace() time.Duration {
	members, whole := s.members()
	if s.phase == PhaseIdle && whole && s.isSettled(members) {
		return restEvery
	}
	return askEvery
}

// isStrange reports whether the group rests on another map than this process believes.
func (s State) isStrange() bool {
	members, whole := s.members()
	if !whole || s.phase != PhaseIdle {
		return false
	}
	for _, m := range members {
		if r := s.views[m].report; r.Armed != 0 || r.Held != 0 {
			return false
		}
	}
	return s.views[members[0]].report.Map != s.version
}

// isOlder reports whether a report was made before another one.
func isOlder(a, b rank.Report) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Group == b.Group && (a.Step < b.Step || a.Orders < b.Orders)
}

// learnLayout asks all ranks what they hold, and takes the map in use from that.
func (s State) learnLayout(now time.Duration, effects []Effect) (State, []Effect) {
	members, whole := s.members()
	if !whole {
		return s, effects
	}
	if layout := s.inUse(members, 0); layout != nil {
		s.layout, s.version = layout, s.views[members[0]].report.Map
		return s, append(effects, Noted{What: "map learnt", Details: []any{"version", s.version, "epoch", s.epoch, "ranks", len(members)}})
	}
	return s.verify(members, now, effects)
}

// verify asks runners what they hold, where that is not known.
func (s State) verify(list []string, now time.Duration, effects []Effect) (State, []Effect) {
	for _, m := range list {
		if v := s.views[m]; now >= v.busy && !s.isVerified(v) {
			v.busy = now + lostAfter
			s = s.withView(m, v)
			effects = append(effects, Verify{Runner: m})
		}
	}
	return s, effects
}

// ask asks a runner that was not heard for a time, unless a call to it is under way.
func (s State) ask(name string, now, every time.Duration, effects []Effect) (State, []Effect) {
	v := s.views[name]
	if name == s.self {
		every = min(every, 2*askEvery)
	}
	if now < v.busy || v.known && now-v.heard < every {
		return s, effects
	}
	v.busy = now + lostAfter
	return s.withView(name, v), append(effects, Ask{Runner: name})
}

// watch notes since when the own rank has begun no pass although it has work.
func (s State) watch(now time.Duration) State {
	r := s.views[s.self].report
	if r.Step != s.stuck || r.Active == 0 && r.Armed == 0 {
		s.stuck, s.stuckSince = r.Step, now
	}
	return s
}

// isSilent reports whether the process that leads seems to have left a step held, which this one completes.
func (s State) isSilent(now time.Duration) bool {
	r := s.views[s.self].report
	wait := silentAfter + time.Duration(r.Rank)*silentEach
	return r.Open && r.Step == s.stuck && s.stuckSince > 0 && now-s.stuckSince >= wait
}

// look asks for counts and, once a window is full, plans.
func (s State) look(now time.Duration) (State, []Effect) {
	members, whole := s.members()
	if !whole || s.shape.Sets == 0 {
		return s, nil
	}
	var effects []Effect
	if s.phase == PhaseIdle {
		s, effects = s.propose(members, now)
	}
	s.counted = now
	for _, m := range s.sample(members) {
		effects = append(effects, Count{Runner: m})
	}
	return s, effects
}

const (
	// sampleNumbers is how many numbers the answers of one look hold together, so that they take little of the link; ranks
	// of a group see the same demand.
	sampleNumbers = 8000
	// fewestSampled is how many ranks are asked at least.
	fewestSampled = 3
)

// sample returns the ranks that are asked for counts, beginning with the first.
func (s State) sample(members []string) []string {
	n := max(fewestSampled, sampleNumbers/max(1, s.shape.Sets*s.shape.Experts))
	return members[:min(len(members), n)]
}

// countedAt adds what a rank's requests chose since it was last asked to the window.
func (s State) countedAt(e Counted) (State, []Effect) {
	v := s.views[e.Runner]
	before := v.counts
	v.counts = e.Counts
	s = s.withView(e.Runner, v)
	if before.Epoch != e.Counts.Epoch || len(before.Counts) != len(e.Counts.Counts) {
		return s, nil
	}
	window := slices.Clone(s.window)
	if len(window) != len(e.Counts.Counts) {
		window = make([]float64, len(e.Counts.Counts))
	}
	for i, c := range e.Counts.Counts {
		if c > before.Counts[i] {
			window[i] += float64(c - before.Counts[i])
		}
	}
	s.window = window
	return s, nil
}

// propose plans with what the last window brought, and begins a switch if one pays.
func (s State) propose(members []string, now time.Duration) (State, []Effect) {
	if s.window != nil {
		s.demand = s.demand.WithWindow(s.window, now-s.counted)
		s.window = nil
	}
	if !s.demand.IsKnown() || s.layout == nil || !s.isSettled(members) {
		return s, nil
	}
	plan, pays := leveler.Propose(s.layout, s.demand, s.shape.Bounds)
	if !pays {
		return s, nil
	}
	s.wanted, s.version = plan.Layout, s.nextVersion(members)
	s = s.enter(PhasePreparing, now)
	s, effects := s.advance(now)
	return s, append([]Effect{Noted{What: "switch begins", Details: []any{
		"version", s.version, "epoch", s.epoch, "skew", plan.Before, "planned", plan.After, "copies", plan.Copies, "longest", plan.Longest,
	}}}, effects...)
}

// isSettled reports whether all ranks use the map that this process believes in use, and none is armed or held.
func (s State) isSettled(members []string) bool {
	for _, m := range members {
		if r := s.views[m].report; r.Map != s.version || r.Armed != 0 || r.Held != 0 {
			return false
		}
	}
	return true
}

// order returns an order that fits a runner's last report.
func (s State) order(verb rank.Verb, r rank.Report) rank.Order {
	o := rank.Order{Verb: verb, Epoch: r.Epoch, Orders: r.Orders, Version: s.version, Step: s.step}
	switch verb {
	case rank.VerbPrepare:
		o.Map, o.Step = s.wanted, 0
	case rank.VerbDisarm:
		o.Version, o.Step = r.Armed, 0
	case rank.VerbHold, rank.VerbRelease:
		o.Version = 0
	}
	return o
}

// give gives an order to a runner unless a call to it is under way.
func (s State) give(name string, verb rank.Verb, now time.Duration, effects []Effect) (State, []Effect) {
	v := s.views[name]
	if now < v.busy {
		return s, effects
	}
	v.busy = now + lostAfter
	if verb == rank.VerbPrepare && !s.filling {
		v.busy = now + copyLost
	}
	return s.withView(name, v), append(effects, Give{Runner: name, Order: s.order(verb, v.report), Direct: verb == rank.VerbHold})
}
