package retrier_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
)

func TestAllowStaysWithinShare(t *testing.T) {
	r := retrier.New(retrier.Burst(5))
	allowed := 0
	for range 1000 {
		r.RecordRequest("desk", 0.1)
		if r.Allow("desk", dispatcher.ReasonUnreachable) {
			allowed++
		}
	}
	if allowed < 100 || allowed > 105 {
		t.Errorf("%d retries of 1000 requests with a share of a tenth and a burst of 5", allowed)
	}
	if !r.Allow("pool", dispatcher.ReasonUnreachable) {
		t.Error("the retries of one service used up the budget of another")
	}
}

func TestAllowByReason(t *testing.T) {
	for reason, want := range map[string]bool{
		"overload": false, "full": false, "expired": false, "timeout": false, "unreachable": false,
		"leaving": true, "isolating": true, "incarnation": true,
	} {
		if got := retrier.New(retrier.Burst(0)).Allow("desk", reason); got != want {
			t.Errorf("%s with an empty budget: got %t", reason, got)
		}
	}
}
