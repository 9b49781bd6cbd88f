package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/position"
)

// TestHigherRevisionWins guards against an old report that ends a drain which is in force, or brings one back that has ended.
func TestHigherRevisionWins(t *testing.T) {
	for name, test := range map[string]struct {
		changes []evacuation.Evacuation
		want    bool
	}{
		"nothing known":        {nil, false},
		"begun":                {[]evacuation.Evacuation{{Position: position.New(0, 5)}}, true},
		"ended":                {[]evacuation.Evacuation{{Position: position.New(0, 5)}, {Position: position.New(0, 8), Ended: true}}, false},
		"ended, begun late":    {[]evacuation.Evacuation{{Position: position.New(0, 8), Ended: true}, {Position: position.New(0, 5)}}, false},
		"begun again":          {[]evacuation.Evacuation{{Position: position.New(0, 8), Ended: true}, {Position: position.New(0, 9)}}, true},
		"begun again, ended":   {[]evacuation.Evacuation{{Position: position.New(0, 9)}, {Position: position.New(0, 8), Ended: true}}, true},
		"ended, same revision": {[]evacuation.Evacuation{{Position: position.New(0, 5)}, {Position: position.New(0, 5), Ended: true}}, false},
		"begun, same revision": {[]evacuation.Evacuation{{Position: position.New(0, 5), Ended: true}, {Position: position.New(0, 5)}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var table evacuation.Table
			for _, e := range test.changes {
				e.Centre = "a"
				before, was := table, table.IsEvacuated("a")
				table = table.With(e, time.Second)
				if before.IsEvacuated("a") != was {
					t.Error("the table before changed")
				}
			}
			if got := table.IsEvacuated("a"); got != test.want || slices.Contains(table.Centres(), "a") != test.want || table.IsEvacuated("b") {
				t.Errorf("drained %t, centres %v", got, table.Centres())
			}
		})
	}
}

// TestEndIsReportedForAWhile guards against ends that are reported for ever, and against entries that missed one for longer than it is
// reported and keep a data centre closed.
func TestEndIsReportedForAWhile(t *testing.T) {
	const retention = time.Minute
	begun := evacuation.Evacuation{Centre: "a", Position: position.New(0, 5)}
	ended := evacuation.Evacuation{Centre: "a", Position: position.New(0, 8), Ended: true}
	table := evacuation.Table{}.With(begun, time.Second)
	if got := table.Reported(time.Hour, retention, 9); !slices.Equal(got, []evacuation.Evacuation{begun}) {
		t.Errorf("a drain in force: %v", got)
	}
	table = table.With(ended, time.Hour).With(ended, time.Hour+50*time.Second)
	for after, want := range map[time.Duration]int{59 * time.Second: 1, 61 * time.Second: 0} {
		if got := table.Reported(time.Hour+after, retention, 9); len(got) != want {
			t.Errorf("%v after the end: %v", after, got)
		}
	}
	table = table.With(begun, 2*time.Hour)
	if got := table.Reported(2*time.Hour+59*time.Second, retention, 9); !slices.Equal(got, []evacuation.Evacuation{ended}) {
		t.Errorf("after an old report: %v", got)
	}
	for _, centre := range []string{"b", "c", "d"} {
		table = table.With(evacuation.Evacuation{Centre: centre, Position: position.New(0, 20)}, 3*time.Hour)
	}
	if got := table.Reported(3*time.Hour, retention, 2); len(got) != 2 || got[0].Centre != "b" || got[1].Centre != "c" {
		t.Errorf("of many: %v", got)
	}
}
