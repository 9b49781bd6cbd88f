package catalog_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
)

func TestFreezeContains(t *testing.T) {
	day := 24 * time.Hour
	thursday := time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		freeze catalog.Freeze
		at     time.Time
		want   bool
	}{
		"begins":          {catalog.NewFreeze(3*day+6*time.Hour, 5*day), thursday, true},
		"before":          {catalog.NewFreeze(3*day+6*time.Hour, 5*day), thursday.Add(-time.Second), false},
		"ends":            {catalog.NewFreeze(3*day, 3*day+6*time.Hour), thursday, false},
		"over Sunday":     {catalog.NewFreeze(6*day, day), thursday.Add(4 * day), true},
		"not over Sunday": {catalog.NewFreeze(6*day, day), thursday, false},
		"other time zone": {catalog.NewFreeze(3*day+6*time.Hour, 5*day), thursday.In(time.FixedZone("", 11*3600)), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := catalog.NewService("desk", catalog.ExpertMoves(20, test.freeze))
			if got := s.IsFrozen(test.at); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
