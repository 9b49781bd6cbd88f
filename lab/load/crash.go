package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	resends = 200
	// crashTakes is how long the request runs before its endpoint dies.
	crashTakes = 50 * time.Millisecond
	// crashSeen is how long an entry takes to see that an endpoint is gone.
	crashSeen   = 100 * time.Millisecond
	crashTick   = 250 * time.Millisecond
	crashBefore = 60 * time.Second
	poison      = suspect.Fingerprint("poison")
)

// memory is what remembers that a request crashes its endpoint.
type memory string

const (
	memoryNone   memory = "none"
	memoryEntry  memory = "each entry for itself"
	memoryShared memory = "shared"
)

// scene is entries before endpoints, and callers that send one crashing request again and again.
type scene struct {
	clock    *clock
	random   *rand.Rand
	memory   memory
	states   []suspecter.State
	platform suspect.Table
	down     bool
	forgets  bool
	lost     int
	refused  int
	writes   int
	messages int
	alone    bool
}

func newScene(m memory, entries int) *scene {
	s := &scene{clock: newClock(), random: rand.New(rand.NewPCG(seed, 3)), memory: m, platform: suspect.NewTable()}
	for range entries {
		s.states = append(s.states, suspecter.New())
	}
	for i := range s.states {
		s.clock.after(time.Duration(s.random.Float64()*float64(crashTick)), func() {
			s.clock.every(crashTick, func() { s.step(i, suspecter.Tick{At: s.clock.now, Jitter: s.random.Float64()}) })
		})
	}
	return s
}

// step applies an event at an entry and carries out its effects.
func (s *scene) step(i int, event suspecter.Event) {
	next, effects := suspecter.Step(s.states[i], event)
	s.states[i] = next
	for _, effect := range effects {
		switch e := effect.(type) {
		case suspecter.Broadcast:
			s.spread(i, e)
		case suspecter.Release:
			close(e.Done)
		case suspecter.SaveTable:
			s.store(i, e.Table)
		}
	}
}

func (s *scene) spread(from int, e suspecter.Broadcast) {
	s.clock.after(2*oneWay, func() {
		for j := range s.states {
			if j != from && s.memory == memoryShared {
				s.messages++
				s.step(j, suspecter.SuspectsReceived{Table: e.Table})
			}
		}
		for _, done := range e.Done {
			close(done)
		}
	})
}

// store writes to the platform, unless it is down or knows it all.
func (s *scene) store(i int, t suspect.Table) {
	if s.down || s.memory != memoryShared {
		return
	}
	if t.NewerThan(s.platform).Len() > 0 {
		s.writes++
		s.platform = s.platform.WithMerged(t)
	}
	s.step(i, suspecter.StoredTableRead{Table: s.platform})
}

// restart replaces an entry by one that reads the platform and asks another entry.
func (s *scene) restart(i int) {
	s.states[i] = suspecter.New()
	if s.memory != memoryShared {
		return
	}
	if !s.down {
		s.step(i, suspecter.StoredTableRead{Table: s.platform})
	}
	if !s.forgets {
		s.step(i, suspecter.SuspectsReceived{Table: s.states[(i+1)%len(s.states)].Table()})
	}
}

// send sends the request to any entry, and again as soon as the caller hears that it failed.
func (s *scene) send(left int) {
	if left == 0 {
		return
	}
	i := s.random.IntN(len(s.states))
	verdict, _ := s.states[i].Table().Judge(poison, s.clock.now)
	switch {
	case s.memory == memoryNone:
		verdict = suspect.VerdictClear
	case verdict == suspect.VerdictRefused:
		s.refused++
		s.clock.after(second, func() { s.send(left - 1) })
		return
	}
	alone := verdict == suspect.VerdictSuspect
	if !alone || !s.alone {
		s.lost++
	}
	s.alone = s.alone || alone
	endpoint := fmt.Sprint("endpoint-", s.lost)
	s.clock.after(crashTakes, func() { s.alone = s.alone && !alone })
	s.clock.after(crashTakes+crashSeen, func() {
		done := make(chan struct{})
		s.step(i, suspecter.EndpointLost{Fingerprint: poison, Endpoint: endpoint, Alone: alone, At: s.clock.now, Done: done})
		s.await(done, left)
	})
}

// await lets the caller send again once the entries know.
func (s *scene) await(done <-chan struct{}, left int) {
	select {
	case <-done:
		s.send(left - 1)
	default:
		s.clock.after(5*time.Millisecond, func() { s.await(done, left) })
	}
}

// trial is one way in which the request comes.
type trial struct {
	name    string
	callers int
	happens func(*scene)
}

func trials() []trial {
	restartAll := func(s *scene) {
		for i := range s.states {
			s.restart(i)
		}
	}
	return []trial{
		{"one caller", 1, func(*scene) {}},
		{"20 callers at once", 20, func(*scene) {}},
		{"one caller, platform down", 1, func(s *scene) { s.down = true }},
		{"one caller, all entries replaced at once after 5 s and 30 s", 1, func(s *scene) {
			s.forgets = true
			s.clock.after(5*second, func() { restartAll(s) })
			s.clock.after(30*second, func() { restartAll(s) })
		}},
		{"one caller, platform down, entries replaced one by one", 1, func(s *scene) {
			s.down = true
			for i := range s.states {
				s.clock.after(time.Duration(float64(i+1)/float64(len(s.states))*float64(crashBefore)), func() { s.restart(i) })
			}
		}},
	}
}

// crash counts the endpoints that one request ends.
func crash(out io.Writer) error {
	table(out, fmt.Sprintf("Endpoints lost to one request that each caller sends again at once, %d times, in %s, to any entry; seed %d",
		resends, crashBefore, seed), "entries", "how it comes", "memory", "endpoints lost", "refused", "platform writes", "messages")
	for _, entries := range []int{9, 1000} {
		for _, t := range trials() {
			for _, m := range []memory{memoryNone, memoryEntry, memoryShared} {
				s := newScene(m, entries)
				t.happens(s)
				for range t.callers {
					s.send(resends)
				}
				s.clock.runFor(crashBefore)
				row(out, fmt.Sprint(entries), t.name, string(m), fmt.Sprint(s.lost), fmt.Sprint(s.refused),
					fmt.Sprint(s.writes), fmt.Sprint(s.messages))
			}
		}
	}
	return nil
}
