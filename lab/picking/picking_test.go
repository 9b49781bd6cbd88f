package picking_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/lab/picking"
)

// The users' targets at the 95th percentile.
const (
	firstTokenTarget    = 600 * time.Millisecond
	betweenTokensTarget = 75 * time.Millisecond
)

func TestTargetsHold(t *testing.T) {
	baseLoad := picking.BaseLoad().WithDuration(2 * time.Minute)
	for name, load := range map[string]picking.Load{
		"half a second of lag":                 baseLoad,
		"two seconds of lag":                   baseLoad.WithLag(2 * time.Second),
		"a runner that always reports no load": baseLoad.WithZeroReporters(1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := picking.Run(load, picking.DaemonStrategy)
			if got := r.First(95); got > firstTokenTarget {
				t.Errorf("first token after %v, want %v", got, firstTokenTarget)
			}
			if got := r.Between(95); got > betweenTokensTarget {
				t.Errorf("%v between tokens, want %v", got, betweenTokensTarget)
			}
		})
	}
}
