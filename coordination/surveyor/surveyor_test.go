package surveyor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/surveyor"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// entries is a StatusReader: "quick" has version 2 in force at once, others after 3 s, and "dead" never answers.
type entries struct{ began time.Time }

func (e entries) Status(ctx context.Context, address string) (member.Status, error) {
	if address == "dead" {
		<-ctx.Done()
		return member.Status{}, fault.New("read state", kingcupstile.KindUnavailable, ctx.Err())
	}
	s := member.Status{Name: address, Version: 1}
	if address == "quick" || time.Since(e.began) > 3*time.Second {
		s.Version = 2
	}
	return s, nil
}

func list(names ...string) roster.Roster {
	var r roster.Roster
	for _, name := range names {
		r = r.WithVM(roster.NewVM(name, roster.RoleEntry, roster.PeerAddress(name)))
	}
	return r.WithVM(roster.NewVM("draft-1", roster.RoleEndpoint, roster.PeerAddress("draft-1")))
}

func TestAwait(t *testing.T) {
	for name, test := range map[string]struct {
		list    roster.Roster
		lagging int
	}{
		"all catch up":    {list("quick", "slow"), 0},
		"one unreachable": {list("quick", "slow", "dead"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				lagging := surveyor.New(entries{began: time.Now()}).Await(ctx, test.list, 2)
				if len(lagging) != test.lagging {
					t.Fatalf("%d entries lag behind", len(lagging))
				}
				for _, reply := range lagging {
					if reply.VM().Name() != "dead" || reply.Err() == nil {
						t.Errorf("%s lags: %v", reply.VM().Name(), reply.Err())
					}
				}
			})
		})
	}
}
