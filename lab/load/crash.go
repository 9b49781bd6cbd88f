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
	maxSends = 200
	// crashDelay is how long the request runs before its endpoint crashes.
	crashDelay = 50 * time.Millisecond
	// lossDetectionDelay is how long an entry takes to detect that an endpoint is gone.
	lossDetectionDelay = 100 * time.Millisecond
	crashTickInterval  = 250 * time.Millisecond
	crashDuration      = 60 * time.Second
	poison             = suspect.Fingerprint("poison")
)

// memory is where entries record that a request crashes its endpoint.
type memory string

const (
	memoryNone   memory = "none"
	memoryEntry  memory = "each entry for itself"
	memoryShared memory = "shared"
)

// crashSimulation is a set of entries and the callers that keep resending one request that crashes its endpoint.
type crashSimulation struct {
	clock          *clock
	random         *rand.Rand
	memory         memory
	states         []suspecter.State
	platform       suspect.Table
	isPlatformDown bool
	// skipPeerSync says that a restarted entry does not ask another entry for its table.
	skipPeerSync  bool
	endpointsLost int
	refused       int
	writes        int
	messages      int
	// alone is set while a suspect attempt runs; further suspect attempts meanwhile count as no loss.
	alone bool
}

func newCrashSimulation(m memory, entries int) *crashSimulation {
	s := &crashSimulation{clock: newClock(), random: rand.New(rand.NewPCG(seed, 3)), memory: m, platform: suspect.NewTable()}
	for range entries {
		s.states = append(s.states, suspecter.New())
	}
	for i := range s.states {
		s.clock.after(time.Duration(s.random.Float64()*float64(crashTickInterval)), func() {
			s.clock.every(crashTickInterval, func() { s.step(i, suspecter.Tick{At: s.clock.now, Jitter: s.random.Float64()}) })
		})
	}
	return s
}

// step applies an event at an entry and carries out its effects.
func (s *crashSimulation) step(i int, event suspecter.Event) {
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

// spread delivers a table to all other entries if they share it, and then confirms it to the waiting requests.
func (s *crashSimulation) spread(from int, e suspecter.Broadcast) {
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

// store merges a table into the platform's, and writes only if the table adds something. It does nothing while the
// platform is down, or if the entries share no table.
func (s *crashSimulation) store(i int, t suspect.Table) {
	if s.isPlatformDown || s.memory != memoryShared {
		return
	}
	if t.NewerThan(s.platform).Len() > 0 {
		s.writes++
		s.platform = s.platform.WithMerged(t)
	}
	s.step(i, suspecter.StoredTableRead{Table: s.platform})
}

// restart replaces an entry by an empty one. If the table is shared, the new entry reads it from the platform, unless
// that is down, and from another entry, unless skipPeerSync is set.
func (s *crashSimulation) restart(i int) {
	s.states[i] = suspecter.New()
	if s.memory != memoryShared {
		return
	}
	if !s.isPlatformDown {
		s.step(i, suspecter.StoredTableRead{Table: s.platform})
	}
	if !s.skipPeerSync {
		s.step(i, suspecter.SuspectsReceived{Table: s.states[(i+1)%len(s.states)].Table()})
	}
}

// send sends the request to a random entry, and resends it as soon as the caller learns that it failed.
// A refused caller waits a second before it resends.
func (s *crashSimulation) send(remaining int) {
	if remaining == 0 {
		return
	}
	i := s.random.IntN(len(s.states))
	verdict, _ := s.states[i].Table().Judge(poison, s.clock.now)
	switch {
	case s.memory == memoryNone:
		verdict = suspect.VerdictClear
	case verdict == suspect.VerdictRefused:
		s.refused++
		s.clock.after(second, func() { s.send(remaining - 1) })
		return
	}
	alone := verdict == suspect.VerdictSuspect
	if !alone || !s.alone {
		s.endpointsLost++
	}
	s.alone = s.alone || alone
	endpoint := fmt.Sprint("endpoint-", s.endpointsLost)
	s.clock.after(crashDelay, func() { s.alone = s.alone && !alone })
	s.clock.after(crashDelay+lossDetectionDelay, func() {
		done := make(chan struct{})
		s.step(i, suspecter.EndpointLost{Fingerprint: poison, Endpoint: endpoint, Alone: alone, At: s.clock.now, Done: done})
		s.awaitKnown(done, remaining)
	})
}

// awaitKnown lets the caller resend once the loss is recorded.
func (s *crashSimulation) awaitKnown(done <-chan struct{}, remaining int) {
	select {
	case <-done:
		s.send(remaining - 1)
	default:
		s.clock.after(5*time.Millisecond, func() { s.awaitKnown(done, remaining) })
	}
}

// crashScenario is a number of callers and the faults that occur while they send.
type crashScenario struct {
	name    string
	callers int
	trigger func(*crashSimulation)
}

func crashScenarios() []crashScenario {
	restartAll := func(s *crashSimulation) {
		for i := range s.states {
			s.restart(i)
		}
	}
	return []crashScenario{
		{"one caller", 1, func(*crashSimulation) {}},
		{"20 callers at once", 20, func(*crashSimulation) {}},
		{"one caller, platform down", 1, func(s *crashSimulation) { s.isPlatformDown = true }},
		{"one caller, all entries replaced at once after 5 s and 30 s", 1, func(s *crashSimulation) {
			s.skipPeerSync = true
			s.clock.after(5*second, func() { restartAll(s) })
			s.clock.after(30*second, func() { restartAll(s) })
		}},
		{"one caller, platform down, entries replaced one by one", 1, func(s *crashSimulation) {
			s.isPlatformDown = true
			for i := range s.states {
				s.clock.after(time.Duration(float64(i+1)/float64(len(s.states))*float64(crashDuration)), func() { s.restart(i) })
			}
		}},
	}
}

// crash counts the endpoints that one request crashes, by scenario and memory.
func crash(out io.Writer) error {
	table(out, fmt.Sprintf("Endpoints lost to one request that each caller sends again at once, %d times, in %s, to any entry; seed %d",
		maxSends, crashDuration, seed), "entries", "how it comes", "memory", "endpoints lost", "refused", "platform writes", "messages")
	for _, entries := range []int{9, 1000} {
		for _, t := range crashScenarios() {
			for _, m := range []memory{memoryNone, memoryEntry, memoryShared} {
				s := newCrashSimulation(m, entries)
				t.trigger(s)
				for range t.callers {
					s.send(maxSends)
				}
				s.clock.runFor(crashDuration)
				row(out, fmt.Sprint(entries), t.name, string(m), fmt.Sprint(s.endpointsLost), fmt.Sprint(s.refused),
					fmt.Sprint(s.writes), fmt.Sprint(s.messages))
			}
		}
	}
	return nil
}
