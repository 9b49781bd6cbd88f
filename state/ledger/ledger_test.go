package ledger_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

const incarnation = attempt.Incarnation("first")

var start = time.Unix(1_800_000_000, 0)

func newAttempt(request string, options ...attempt.Option) attempt.Attempt {
	options = append([]attempt.Option{
		attempt.To("desk-1", incarnation), attempt.Account("amagambo"), attempt.Expiry(start.Add(time.Minute)),
	}, options...)
	return attempt.New(request, options...)
}

func admit(t *testing.T, l ledger.Ledger, a attempt.Attempt) ledger.Ledger {
	t.Helper()
	l, err := l.WithAdmitted(a, start)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestWithAdmitted(t *testing.T) {
	later := start.Add(2 * time.Minute)
	keyed, soon := attempt.Key("slip-7"), attempt.Expiry(start.Add(time.Second))
	empty := ledger.New(incarnation)
	admitted := admit(t, empty, newAttempt("r1", keyed))
	finished := admitted.WithState(newAttempt("r1", keyed).Identity(), ledger.StateFinished)
	tombstoned, _ := empty.WithTombstone(newAttempt("r1"))
	full := admit(t, ledger.New(incarnation, ledger.Limit(1)), newAttempt("r1"))
	refused, _ := full.WithAdmitted(newAttempt("r2"), start)
	small := admit(t, ledger.New(incarnation, ledger.Limit(1)), newAttempt("r1", keyed))
	small = small.WithState(newAttempt("r1", keyed).Identity(), ledger.StateFinished)
	evicted := admit(t, small, newAttempt("r2", attempt.Key("slip-8"), attempt.Expiry(later)))
	late, _ := empty.WithAdmitted(newAttempt("r1", soon), later)
	rolledBack := admitted.WithRolledBack(newAttempt("r1", keyed))
	for name, test := range map[string]struct {
		ledger  ledger.Ledger
		attempt attempt.Attempt
		at      time.Time
		want    ledger.Kind
	}{
		"first":                       {empty, newAttempt("r1"), start, ""},
		"other incarnation":           {ledger.New("second"), newAttempt("r1"), start, ledger.KindOtherIncarnation},
		"same key":                    {admitted, newAttempt("r2", keyed), start, ledger.KindDuplicate},
		"same key, other account":     {admitted, newAttempt("r2", keyed, attempt.Account("other")), start, ""},
		"same key, other request":     {admitted, newAttempt("r2", keyed, attempt.HTTP("POST", "/b", nil, nil)), start, ledger.KindMismatch},
		"tombstone":                   {tombstoned, newAttempt("r1"), start, ledger.KindTombstone},
		"tombstone dropped":           {tombstoned.WithoutExpired(later), newAttempt("r1"), start, ledger.KindForgotten},
		"expired":                     {empty, newAttempt("r1"), later, ledger.KindExpired},
		"expired, clock set back":     {late, newAttempt("r1", soon), start, ledger.KindForgotten},
		"forgotten":                   {finished.WithoutExpired(later), newAttempt("r2", keyed), start, ledger.KindForgotten},
		"in progress past expiry":     {admitted.WithoutExpired(later), newAttempt("r2", keyed), start, ledger.KindDuplicate},
		"key forgotten, no key":       {finished.WithoutExpired(later), newAttempt("r2"), start, ""},
		"full":                        {full, newAttempt("r2"), start, ledger.KindFull},
		"copy of one refused as full": {refused.WithoutExpired(start), newAttempt("r2"), start, ledger.KindTombstone},
		"no room for a tombstone":     {refused, newAttempt("r3"), start, ledger.KindForgotten},
		"evicted for another":         {evicted, newAttempt("r3", keyed), start, ledger.KindForgotten},
		"no room for earlier expiry":  {small, newAttempt("r3", attempt.Key("slip-9"), soon), start, ledger.KindForgotten},
		"rolled back":                 {rolledBack, newAttempt("r1", keyed), start, ledger.KindTombstone},
		"other after rolled back":     {rolledBack, newAttempt("r2", keyed), start, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := test.ledger.WithAdmitted(test.attempt, test.at)
			if got := fault.KindOf[ledger.Kind](err); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestWithBuried(t *testing.T) {
	a := newAttempt("r1")
	admitted := admit(t, ledger.New(incarnation), a)
	started := admitted.WithState(a.Identity(), ledger.StateStarted)
	for name, test := range map[string]struct {
		ledger ledger.Ledger
		want   attempt.Outcome
	}{
		"never seen":        {ledger.New(incarnation), attempt.OutcomeNotRun},
		"admitted":          {admitted, attempt.OutcomeNotRun},
		"started":           {started, attempt.OutcomeRan},
		"finished":          {started.WithState(a.Identity(), ledger.StateFinished), attempt.OutcomeRan},
		"other incarnation": {ledger.New("second"), attempt.OutcomeUnknown},
		"forgotten": {
			started.WithState(a.Identity(), ledger.StateFinished).WithoutExpired(start.Add(time.Hour)), attempt.OutcomeUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, got := test.ledger.WithTombstone(a)
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// BenchmarkWithAdmitted admits and finishes attempts with keys, and reports the memory in bytes per key.
// TestKeyOutlivesARolledBackAttempt rolls back an attempt under a key and admits another one under it that expires later:
// the key is known until then, so that no third attempt runs.
func TestKeyOutlivesARolledBackAttempt(t *testing.T) {
	key := attempt.Key("slip-7")
	first, second := newAttempt("r1", key), newAttempt("r2", key, attempt.Expiry(start.Add(3*time.Minute)))
	l := admit(t, ledger.New(incarnation), first).WithRolledBack(first)
	l = admit(t, l, second).WithState(second.Identity(), ledger.StateFinished)
	later := start.Add(2 * time.Minute)
	third := newAttempt("r3", key, attempt.Expiry(start.Add(3*time.Minute)))
	if _, err := l.WithoutExpired(later).WithAdmitted(third, later); fault.KindOf[ledger.Kind](err) != ledger.KindDuplicate {
		t.Errorf("a second attempt under a key may run: %v", err)
	}
}

func BenchmarkWithAdmitted(b *testing.B) {
	const keys = ledger.DefaultLimit
	var before, after runtime.MemStats
	for b.Loop() {
		l := ledger.New(incarnation)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range keys {
			expiry := start.Add(time.Second + time.Duration(i)*time.Millisecond)
			a := newAttempt("r"+strconv.Itoa(i), attempt.Key("slip-"+strconv.Itoa(i)), attempt.Expiry(expiry))
			l, _ = l.WithAdmitted(a, start)
			l = l.WithState(a.Identity(), ledger.StateStarted).WithState(a.Identity(), ledger.StateFinished)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(l)
	}
}
