package decayer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

func TestKeep(t *testing.T) {
	for elapsed, want := range map[time.Duration]float64{
		-time.Second: 1, 0: 1, 250 * time.Millisecond: 0.875, time.Second: 0.5, 1500 * time.Millisecond: 0.375, 3 * time.Second: 0.125,
	} {
		if got := decayer.Keep(elapsed, time.Second); got != want {
			t.Errorf("after %v %g is left, want %g", elapsed, got, want)
		}
	}
	if got := decayer.Keep(10*24*time.Hour, time.Second); got != 0 {
		t.Errorf("%g is left after ten days", got)
	}
}
