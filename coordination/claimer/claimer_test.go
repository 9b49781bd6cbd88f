package claimer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/coordination/claimer"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

const entries = 8

func proposed(n int) binder.Ticket {
	expiry := time.Now().Add(time.Hour).Truncate(time.Second)
	return binder.New(fmt.Sprintf("desk-%d", n), "first", expiry, fmt.Sprintf("n%d", n))
}

// TestClaimCalls checks how many calls to the platform the claims of one key cost.
func TestClaimCalls(t *testing.T) {
	lost := fault.New("put", kingcupstile.KindUncertain, nil)
	down := fault.New("put", kingcupstile.KindUnavailable, nil)
	for name, test := range map[string]struct {
		claims        int
		before, after error
		puts, gets    int
		kind          kingcupstile.Kind
	}{
		"first send":                 {claims: 1, puts: 1},
		"sent again":                 {claims: 2, puts: 2, gets: 1},
		"reply lost":                 {claims: 1, after: lost, puts: 1, gets: 1},
		"lost before it took effect": {claims: 1, before: lost, puts: 1, gets: 1, kind: kingcupstile.KindMissing},
		"platform down":              {claims: 1, before: down, puts: 1, kind: kingcupstile.KindUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			store := platform.New(platform.Faults(func(call platform.Call, _ string) (error, error) {
				if call == platform.CallPut {
					return test.before, test.after
				}
				return nil, nil
			}))
			var err error
			for i := range test.claims {
				_, err = claimer.New(store).Claim(t.Context(), "amagambo", "desk", "slip-7", proposed(i))
			}
			counts := store.Counts()
			if counts[platform.CallPut] != test.puts || counts[platform.CallGet] != test.gets {
				t.Errorf("%d puts and %d gets", counts[platform.CallPut], counts[platform.CallGet])
			}
			if got := fault.KindOf[kingcupstile.Kind](err); got != test.kind {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestConcurrentClaims checks that all of several entries that claim one key at the same time get the same ticket.
func TestConcurrentClaims(t *testing.T) {
	store := platform.New()
	tickets := make([]binder.Ticket, entries)
	var group sync.WaitGroup
	for i := range tickets {
		group.Go(func() {
			ticket, err := claimer.New(store).Claim(t.Context(), "amagambo", "desk", "slip-7", proposed(i))
			if err != nil {
				t.Error(err)
			}
			tickets[i] = ticket
		})
	}
	group.Wait()
	for _, ticket := range tickets {
		if ticket != tickets[0] {
			t.Errorf("%q and %q", ticket.Key(), tickets[0].Key())
		}
	}
}
