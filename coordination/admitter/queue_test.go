package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

var start = time.Unix(1_800_000_000, 0)

const runTime = 100 * time.Millisecond

func newAttempt(id, account string, options ...attempt.Option) attempt.Attempt {
	options = append([]attempt.Option{
		attempt.Account(account), attempt.Deadline(start.Add(time.Second)), attempt.MaxQueueWait(250 * time.Millisecond),
	}, options...)
	return attempt.New(id, options...)
}

// busy returns a queue with a fixed limit of two, two running attempts and a mean run time of 100 ms.
func busy(t *testing.T) admitter.Queue {
	t.Helper()
	q := admitter.New(admitter.Concurrency(admitter.NewLimit(admitter.Fixed(2))))
	q, _ = q.WithOffered(newAttempt("warm", "large"), start)
	q, _ = q.WithFinished(admitter.Sample{TimeToFirstByte: runTime, Total: runTime}, start)
	for i := range 2 {
		var decisions []admitter.Decision
		q, decisions = q.WithOffered(newAttempt(fmt.Sprint("run-", i), "large"), start)
		if got := summaries(decisions); got[0] != fmt.Sprintf("start run-%d#1", i) {
			t.Fatalf("got %v", got)
		}
	}
	return q
}

func summaries(decisions []admitter.Decision) []string {
	lines := make([]string, 0, len(decisions))
	for _, d := range decisions {
		line := string(d.Action) + " " + d.Attempt.ID()
		if d.Reason != "" {
			line += " " + string(d.Reason)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestWithOffered(t *testing.T) {
	alone := newAttempt("suspect", "small", attempt.Alone(true))
	for name, test := range map[string]struct {
		offered []attempt.Attempt
		want    []string
	}{
		"waits":         {[]attempt.Attempt{newAttempt("a", "large")}, []string{"wait a#1"}},
		"must not wait": {[]attempt.Attempt{newAttempt("a", "large", attempt.MaxQueueWait(0))}, []string{"refuse a#1 overload"}},
		"deadline is too near": {
			[]attempt.Attempt{newAttempt("a", "large", attempt.Deadline(start.Add(120*time.Millisecond)))},
			[]string{"refuse a#1 overload"},
		},
		"queue is too long": {
			[]attempt.Attempt{
				newAttempt("a", "large"), newAttempt("b", "large"), newAttempt("c", "large"),
				newAttempt("d", "large"), newAttempt("e", "large"), newAttempt("f", "large"),
			},
			[]string{"refuse f#1 overload"},
		},
		"small account displaces the large one": {
			[]attempt.Attempt{
				newAttempt("a", "large"), newAttempt("b", "large"), newAttempt("c", "large"),
				newAttempt("d", "large"), newAttempt("e", "large"), newAttempt("small", "small"),
			},
			[]string{"wait small#1", "refuse e#1 overload"},
		},
		"suspect waits for an empty endpoint": {
			[]attempt.Attempt{newAttempt("a", "large"), alone}, []string{"wait suspect#1", "refuse a#1 isolating"},
		},
		"no attempt joins a suspect": {
			[]attempt.Attempt{alone, newAttempt("a", "large")}, []string{"refuse a#1 isolating"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := busy(t)
			var decisions []admitter.Decision
			for _, a := range test.offered {
				q, decisions = q.WithOffered(a, start)
			}
			if diff := cmp.Diff(test.want, summaries(decisions)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	q, _ := busy(t).WithOffered(newAttempt("suspect", "small", attempt.Alone(true)), start)
	sample := admitter.Sample{TimeToFirstByte: runTime, Total: runTime}
	q, first := q.WithFinished(sample, start)
	q, second := q.WithFinished(sample, start)
	q, refused := q.WithOffered(newAttempt("b", "large"), start)
	q, _ = q.WithFinished(sample, start)
	_, after := q.WithOffered(newAttempt("c", "large"), start)
	got := [][]string{summaries(first), summaries(second), summaries(refused), summaries(after)}
	want := [][]string{{}, {"start suspect#1"}, {"refuse b#1 isolating"}, {"start c#1"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestWaitExpires(t *testing.T) {
	q, _ := busy(t).WithOffered(newAttempt("a", "large"), start)
	_, decisions := q.WithTime(start.Add(300 * time.Millisecond))
	if diff := cmp.Diff([]string{"refuse a#1 overload"}, summaries(decisions)); diff != "" {
		t.Error(diff)
	}
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	q := busy(t)
	for _, a := range []attempt.Attempt{newAttempt("low", "small"), newAttempt("high", "other", attempt.Priority(2))} {
		q, _ = q.WithOffered(a, start)
	}
	_, decisions := q.WithFinished(admitter.Sample{TimeToFirstByte: runTime, Total: runTime}, start)
	if diff := cmp.Diff([]string{"start high#1"}, summaries(decisions)); diff != "" {
		t.Error(diff)
	}
}
