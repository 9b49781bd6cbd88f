package overseer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const deadly = suspect.Part(7)

// seen is the deadly part in a request at a lost runner.
var seen = suspect.Sighting{Part: deadly}

// effectsOf returns the effects of one type.
func effectsOf[T overseer.Effect](effects []overseer.Effect) []T {
	var list []T
	for _, e := range effects {
		if is, ok := e.(T); ok {
			list = append(list, is)
		}
	}
	return list
}

func lostUnder(at time.Duration, parts ...suspect.Sighting) overseer.RunnerCrashed {
	return overseer.RunnerCrashed{Fingerprint: "f", Runner: "r1", StartedAt: at.Milliseconds(), Parts: parts, At: at}
}

// TestPartsSpread has one entry lose a runner under a part: another holds it back with the next heartbeat, withdraws what it
// has at runners, and learns as soon when the part is answered.
func TestPartsSpread(t *testing.T) {
	a, b := other("a", "x"), self
	here, _ := apply(overseer.New(a), overseer.PeersListed{Peers: []peer.Peer{b}, At: second}, lostUnder(100*second, seen))
	r := runner.New("r1", "pool", "h:1", runner.StartedAt((100 * second).Milliseconds()))
	there, _ := apply(overseer.New(b), overseer.PeersListed{Peers: []peer.Peer{a}, At: second},
		overseer.RunnersListed{Runners: []runner.Runner{r}, At: second})
	there, effects := apply(there, overseer.HeartbeatReceived{Heartbeat: here.Heartbeat(b, nil, 100*second), At: 200 * second})
	if len(there.Held([]suspect.Part{deadly})) != 1 {
		t.Fatal("the part is not held back elsewhere")
	}
	withheld, lost := effectsOf[overseer.Withhold](effects), effectsOf[overseer.RunnerLost](effects)
	if len(withheld) != 1 || withheld[0].Parts[0] != deadly || len(lost) != 1 || lost[0].Service != "pool" {
		t.Errorf("effects %+v", effects)
	}
	there, effects = apply(there, overseer.HeartbeatReceived{Heartbeat: here.Heartbeat(b, nil, 101*second), At: 201 * second})
	if len(effectsOf[overseer.Withhold](effects))+len(effectsOf[overseer.RunnerLost](effects)) != 0 {
		t.Errorf("the same report again: %+v", effects)
	}
	there, _ = apply(there, overseer.PartsAnswered{Parts: []suspect.Part{deadly}, At: 205 * second})
	beat := there.Heartbeat(a, nil, 206*second)
	beat.Echo, beat.EchoStart = 105*second, a.Start
	here, _ = apply(here, overseer.HeartbeatReceived{Heartbeat: beat, At: 106 * second})
	if len(here.Held([]suspect.Part{deadly})) != 0 {
		t.Error("the part is still held back after it was answered")
	}
}

// TestPausedEntryTellsOfTheSameLoss has an entry notice a loss seconds after the others, as it was paused: it is the same
// incident. The next start of the runner under its identifier may be lost anew.
func TestPausedEntryTellsOfTheSameLoss(t *testing.T) {
	loss := func(at time.Duration, startedAt int64) overseer.RunnerCrashed {
		return overseer.RunnerCrashed{Fingerprint: "f", Runner: "r1", StartedAt: startedAt, Parts: []suspect.Sighting{seen}, At: at}
	}
	r := runner.New("r1", "pool", "h:1", runner.StartedAt(5))
	s, _ := apply(overseer.New(self), overseer.RunnersListed{Runners: []runner.Runner{r}, At: second}, loss(100*second, 5))
	s, effects := apply(s, loss(104600*time.Millisecond, 5))
	if got := s.Held([]suspect.Part{deadly}); got[0].Strikes.Count != 1 || len(effectsOf[overseer.RunnerLost](effects)) != 0 {
		t.Errorf("%+v, %+v", got, effects)
	}
	if s, _ = apply(s, loss(110*second, 6)); s.Held([]suspect.Part{deadly})[0].Strikes.Count != 2 {
		t.Error("the loss of a later start does not count")
	}
}

// TestAnswerElsewhereIsNoLaterThanItWas delays the report of an answer that came before the loss: it must not count as one
// that came after it.
func TestAnswerElsewhereIsNoLaterThanItWas(t *testing.T) {
	a, b := other("a", "x"), self
	here, _ := apply(overseer.New(a), overseer.PeersListed{Peers: []peer.Peer{b}, At: second},
		lostUnder(100*second, suspect.Sighting{Part: deadly, AnsweredAt: 99900 * time.Millisecond}))
	there, _ := apply(overseer.New(b), overseer.PeersListed{Peers: []peer.Peer{a}, At: second}, lostUnder(200*second, seen))
	beat := here.Heartbeat(b, nil, 100*second)
	beat.Echo, beat.EchoStart = 199500*time.Millisecond, b.Start
	there, _ = apply(there, overseer.HeartbeatReceived{Heartbeat: beat, At: 200400 * time.Millisecond})
	if e := there.Heartbeat(a, nil, 201*second).Parts[0]; e.AnsweredAt() >= 200*second || e.AnsweredAt() == 0 {
		t.Errorf("answered at %v", e.AnsweredAt())
	}
}

// TestPausedEntryIsInformedFirst pauses an entry for some seconds: it knows that it may lack news until another entry has
// answered a heartbeat sent since, and gets all that is on record.
func TestPausedEntryIsInformedFirst(t *testing.T) {
	a := other("a", "x")
	s, _ := apply(overseer.New(self), overseer.PeersListed{Peers: []peer.Peer{a}, At: second})
	beat := func(s overseer.State, sent, at time.Duration) overseer.State {
		s, _ = apply(s, overseer.HeartbeatReceived{
			Heartbeat: peer.Heartbeat{Name: "a", Start: a.Start, Ready: true, Echo: sent, EchoStart: self.Start}, At: at,
		})
		return s
	}
	if s.IsInformed(second) {
		t.Error("informed before anything was heard")
	}
	s, _ = apply(s, overseer.Tick{At: second})
	s = beat(s, second+100*time.Millisecond, second+200*time.Millisecond)
	if !s.IsInformed(second + 300*time.Millisecond) {
		t.Error("not informed by a heartbeat")
	}
	if s.IsInformed(6 * second) {
		t.Error("informed as the process wakes, before its clock has ticked")
	}
	s, _ = apply(s, overseer.Tick{At: 6 * second})
	if s = beat(s, 1200*time.Millisecond, 6010*time.Millisecond); s.IsInformed(6020 * time.Millisecond) {
		t.Error("informed by a heartbeat that had waited in the socket")
	}
	if s = beat(s, 6100*time.Millisecond, 6200*time.Millisecond); !s.IsInformed(6210 * time.Millisecond) {
		t.Error("not informed after the pause")
	}
	late, _ := apply(s, overseer.Tick{At: 20 * second})
	if late.IsInformed(20*second+200*time.Millisecond) || !late.IsInformed(20*second+400*time.Millisecond) {
		t.Error("an entry that hears nobody does not wait for a moment, or for longer")
	}
	alone, _ := apply(overseer.New(self), overseer.PeersListed{At: second}, overseer.Tick{At: second})
	if !alone.IsInformed(second) {
		t.Error("an entry without others waits for them")
	}

	knows, _ := apply(overseer.New(a), overseer.PeersListed{Peers: []peer.Peer{self}, At: second}, lostUnder(100*second, seen))
	for _, at := range []time.Duration{103 * second, 110 * second} {
		knows, _ = apply(knows, overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: self.Name, Start: self.Start}, At: at})
	}
	if got := knows.Heartbeat(self, nil, 110*second+100*time.Millisecond).Parts; len(got) != 1 {
		t.Errorf("%d parts to an entry that returns", len(got))
	}
}

// TestEntriesThatStartTogetherDoNotWait starts all entries at once: none knows more than the others, so that they wait for a
// moment only; one that hears from an older entry waits for its reply.
func TestEntriesThatStartTogetherDoNotWait(t *testing.T) {
	for age, want := range map[time.Duration]bool{0: true, time.Second: true, time.Minute: false} {
		me, a := self, other("a", "x")
		me.Start, a.Start = time.Hour.Nanoseconds(), (time.Hour - age).Nanoseconds()
		s, _ := apply(overseer.New(me), overseer.PeersListed{Peers: []peer.Peer{a}, At: second}, overseer.Tick{At: second},
			overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: "a", Start: a.Start, Ready: true}, At: second + 100*time.Millisecond})
		if got := s.IsInformed(second + 400*time.Millisecond); got != want {
			t.Errorf("beside an entry that started %v before: %t", age, got)
		}
	}
}

// TestOneEntryTriesAPart asks all entries who may try a part: one alone, more after a while, and none that is cut off.
func TestOneEntryTriesAPart(t *testing.T) {
	names := []string{"b", "c", "d", "e"}
	places := func(at time.Duration, cut bool) int {
		n := 0
		for _, name := range names {
			var peers []peer.Peer
			for _, o := range names {
				if o != name {
					peers = append(peers, other(o, "x"))
				}
			}
			s, _ := apply(overseer.New(other(name, "x")), overseer.PeersListed{Peers: peers, At: second}, lostUnder(10*second, seen))
			for _, p := range peers {
				if !cut {
					s, _ = apply(s, overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: p.Name, Start: p.Start}, At: at})
				}
			}
			if s.IsTrialPlace(s.Held([]suspect.Part{deadly}), at) {
				n++
			}
		}
		return n
	}
	early, late, cut := places(20*second, false), places(10*time.Minute, false), places(20*second, true)
	if early != 1 || late != 4 || cut != 0 {
		t.Errorf("%d at first, %d after ten minutes, %d cut off", early, late, cut)
	}
}

// TestPartsExpire keeps evidence while it holds a part back, and not for ever.
func TestPartsExpire(t *testing.T) {
	s, _ := apply(overseer.New(self), lostUnder(100*second, seen), lostUnder(200*second, seen))
	s, _ = apply(s, overseer.Tick{At: 200*second + 9*time.Minute})
	if len(s.Held([]suspect.Part{deadly})) != 1 {
		t.Error("a part that crashed two runners was forgotten")
	}
	if s, _ = apply(s, overseer.Tick{At: 200*second + time.Hour}); s.HasEvidence() {
		t.Error("evidence is kept for ever")
	}
}
