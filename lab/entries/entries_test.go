package entries_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/lab/entries"
)

func TestSpreadingCallersEvensLoad(t *testing.T) {
	load := entries.CurrentLoad(1.0 / 3)
	first, all := entries.Run(load, entries.RandomFirst), entries.Run(load, entries.RandomAllNear)
	if all.Busiest(100) >= first.Busiest(100) || all.WorstAfterLoss() >= first.WorstAfterLoss() {
		t.Errorf("busiest %.2f and %.2f with all near addresses, %.2f and %.2f with the first",
			all.Busiest(100), all.WorstAfterLoss(), first.Busiest(100), first.WorstAfterLoss())
	}
}
