package suspecter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

var start = time.Unix(1_800_000_000, 0)

const poison, innocent = suspect.Fingerprint("poison"), suspect.Fingerprint("innocent")

func endpointLost(f suspect.Fingerprint, endpoint string, alone bool, at time.Time) suspecter.EndpointLost {
	return suspecter.EndpointLost{Fingerprint: f, Service: "desk", Endpoint: endpoint, Alone: alone, At: at, Done: make(chan struct{})}
}

func applyAll(s suspecter.State, events ...suspecter.Event) (suspecter.State, []suspecter.Effect) {
	var all []suspecter.Effect
	for _, event := range events {
		var effects []suspecter.Effect
		s, effects = suspecter.Step(s, event)
		all = append(all, effects...)
	}
	return s, all
}

func TestVerdicts(t *testing.T) {
	crash, alone := endpointLost(poison, "desk-1", false, start), endpointLost(poison, "desk-2", true, start.Add(time.Second))
	survived := suspecter.CompletedAlone{Fingerprint: poison, At: start.Add(2 * time.Second)}
	for name, test := range map[string]struct {
		events []suspecter.Event
		after  time.Duration
		want   suspect.Verdict
	}{
		"nothing":                 {nil, 0, suspect.VerdictClear},
		"one crash":               {[]suspecter.Event{crash}, 0, suspect.VerdictSuspect},
		"second crash, not alone": {[]suspecter.Event{crash, endpointLost(poison, "desk-2", false, start)}, 0, suspect.VerdictSuspect},
		"second crash, alone":     {[]suspecter.Event{crash, alone}, 0, suspect.VerdictRefused},
		"survived alone":          {[]suspecter.Event{crash, survived}, 0, suspect.VerdictClear},
		"suspicion lapses":        {[]suspecter.Event{crash}, suspect.SuspectPeriod, suspect.VerdictClear},
		"refusal stays":           {[]suspecter.Event{crash, alone}, suspect.SuspectPeriod, suspect.VerdictRefused},
		"refusal lapses":          {[]suspecter.Event{crash, alone}, suspect.RefusalPeriod + time.Minute, suspect.VerdictClear},
		"unsuspected survived":    {[]suspecter.Event{survived}, 0, suspect.VerdictClear},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := applyAll(suspecter.New(), test.events...)
			if got, _ := s.Table().Judge(poison, start.Add(3*time.Second).Add(test.after)); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestMassLossBlamesFewRequests(t *testing.T) {
	s := suspecter.New()
	for i := range 40 {
		s, _ = applyAll(s, endpointLost(suspect.Fingerprint(fmt.Sprint("r", i)), fmt.Sprint("desk-", i), false, start))
	}
	if s.Table().Len() > 3 {
		t.Errorf("%d requests are suspects after 40 endpoints were lost at once", s.Table().Len())
	}
	s, _ = applyAll(s, endpointLost(poison, "desk-41", true, start))
	if got, _ := s.Table().Judge(poison, start); got != suspect.VerdictRefused {
		t.Errorf("a request that ran alone has the verdict %s", got)
	}
}

func TestBroadcastReleasesWaitingCallers(t *testing.T) {
	done := make(chan struct{})
	event := endpointLost(poison, "desk-1", false, start)
	event.Done = done
	_, effects := applyAll(suspecter.New(), event, suspecter.Tick{At: start})
	spread, ok := effects[0].(suspecter.Broadcast)
	if !ok || len(spread.Done) != 1 || spread.Table.Len() != 1 {
		t.Errorf("got %#v", effects)
	}
}

// TestOneEntrySaves checks that only one of the entries that know the same suspect saves it on the platform.
func TestOneEntrySaves(t *testing.T) {
	const entries = 30
	writes := 0
	stored := suspect.NewTable()
	states := make([]suspecter.State, entries)
	for i := range states {
		states[i], _ = applyAll(suspecter.New(), suspecter.SuspectsReceived{
			Table: suspect.NewTable(suspect.NewRecord(poison).WithCrash(start, false)),
		})
	}
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(250 * time.Millisecond) {
		for i := range states {
			draw := (float64(i) + 0.5) / entries
			next, effects := applyAll(states[i], suspecter.StoredTableRead{Table: stored}, suspecter.Tick{At: at, Jitter: draw})
			states[i] = next
			for _, effect := range effects {
				if save, ok := effect.(suspecter.SaveTable); ok {
					stored = stored.WithMerged(save.Table)
					writes++
				}
			}
		}
	}
	if writes != 1 {
		t.Errorf("the same suspect was saved %d times", writes)
	}
}

func TestTablesMergeInAnyOrder(t *testing.T) {
	crashed := suspect.NewTable(suspect.NewRecord(poison).WithCrash(start, false))
	cleared := suspect.NewTable(suspect.NewRecord(poison).WithCleared(start.Add(time.Second)))
	refused := suspect.NewTable(suspect.NewRecord(poison).WithCrash(start.Add(2*time.Second), true), suspect.NewRecord(innocent))
	one := crashed.WithMerged(cleared).WithMerged(refused)
	other := refused.WithMerged(cleared).WithMerged(crashed).WithMerged(cleared)
	if one.NewerThan(other).Len()+other.NewerThan(one).Len() != 0 {
		t.Error("tables merged in different orders differ")
	}
}
