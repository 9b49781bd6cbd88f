package history_test

import (
	"bufio"
	"bytes"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/standin/history"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

const (
	histories = 10_000
	seed      = 20261204
	workers   = 6
)

// tally sums the reports of many histories; multiple counts those with two or more kinds of fault.
type tally struct {
	mu       sync.Mutex
	outcomes map[attempt.Outcome]int
	faults   map[history.Fault]int
	complete int
	multiple int
	failed   int
}

func (t *tally) add(r history.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for outcome, n := range r.Outcomes {
		t.outcomes[outcome] += n
	}
	for f, n := range r.Faults {
		t.faults[f] += n
	}
	t.complete += r.Complete
	if len(r.Faults) > 1 {
		t.multiple++
	}
	if r.Err != nil {
		t.failed++
	}
}

// checkGuarantees checks the property that no guarantee is broken over count histories of generated seeds.
func checkGuarantees(t *testing.T, count int, options ...history.Option) (*tally, *gopter.TestResult) {
	t.Helper()
	sum := &tally{outcomes: map[attempt.Outcome]int{}, faults: map[history.Fault]int{}}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests, parameters.Workers = count, workers
	property := prop.ForAllNoShrink(func(seed uint64) (bool, error) {
		r := history.Play(seed, options...)
		sum.add(r)
		return r.Err == nil, r.Err
	}, gen.UInt64())
	return sum, property.Check(parameters)
}

func TestPromisesHold(t *testing.T) {
	sum, result := checkGuarantees(t, histories)
	if !result.Passed() {
		t.Fatalf("%s after %d histories: %v with %v", result.Status, result.Succeeded, result.Error, result.Args)
	}
	t.Logf("outcomes %v, complete answers %d, histories with two or more kinds of fault %d, faults %v",
		sum.outcomes, sum.complete, sum.multiple, sum.faults)
	for _, outcome := range []attempt.Outcome{attempt.OutcomeRan, attempt.OutcomeNotRun, attempt.OutcomeUnknown} {
		if sum.outcomes[outcome] < histories/20 {
			t.Errorf("outcome %q was told only %d times", outcome, sum.outcomes[outcome])
		}
	}
	if sum.multiple < histories/2 {
		t.Errorf("only %d histories had two or more kinds of fault", sum.multiple)
	}
}

// TestMutantsFail checks that the property fails when a protocol check is missing, so that a pass is meaningful.
func TestMutantsFail(t *testing.T) {
	for name, mutant := range map[string]history.Option{
		"no incarnation check": history.EndpointStep(func(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
			if admit, ok := e.(keeper.Admit); ok {
				admit.Attempt = admit.Attempt.WithTarget(admit.Attempt.Endpoint(), s.Incarnation())
				e = admit
			}
			return keeper.Step(s, e)
		}),
		"no tombstone": history.EndpointStep(func(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
			next, effects := keeper.Step(s, e)
			if _, ok := e.(keeper.Tombstone); ok {
				return s, effects
			}
			return next, effects
		}),
		"frames of any attempt": history.FrameReader(func(stream []byte, _ string) (attempt.Frame, error) {
			m := &wire.Frame{}
			err := messenger.Read(bufio.NewReader(bytes.NewReader(stream)), m)
			return messenger.DecodeFrame(m), err
		}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, result := checkGuarantees(t, histories, mutant); result.Passed() {
				t.Error("the property holds for the mutant")
			} else {
				t.Logf("failed after %d histories: %v", result.Succeeded, result.Error)
			}
		})
	}
}
