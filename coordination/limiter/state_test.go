package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/limiter"
)

var start = time.Unix(1_800_000_000, 0)

var key = limiter.Key{Service: "pool", Account: "amagambo"}

const limit = 50.0

func entryNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("entry-%d", i+1)
	}
	return list
}

// home returns the state of the entry that is the key's home among n, which it learnt of at start; at is later.
func home(t *testing.T, n int, at time.Time) limiter.State {
	t.Helper()
	for _, name := range entryNames(n) {
		s, _ := limiter.Step(limiter.New(name), limiter.EntriesUpdated{Names: entryNames(n), At: start})
		_, effects := limiter.Step(s, limiter.ShareRequested{Demand: limiter.Demand{Key: key, Limit: limit, Rate: 1},
			At: at, Done: make(chan struct{})})
		if _, asks := effects[0].(limiter.RequestShares); !asks {
			return s
		}
	}
	t.Fatal("no entry is the home of the key")
	return limiter.State{}
}

// lease asks a home for a share on behalf of an entry.
func lease(s limiter.State, entry string, rate float64, at time.Time) (limiter.State, limiter.Share) {
	asked := limiter.DemandsReceived{Entry: entry, Demands: []limiter.Demand{{Key: key, Limit: limit, Rate: rate}}, At: at}
	s, effects := limiter.Step(s, asked)
	return s, effects[0].(limiter.SendShares).Shares[0]
}

func TestHomeLeasesAtMostTheLimit(t *testing.T) {
	const entries = 9
	at := start.Add(time.Minute)
	s := home(t, entries, at)
	held := map[string]float64{}
	for round := range 200 {
		at = at.Add(200 * time.Millisecond)
		entry := entryNames(entries)[round*7%entries]
		var share limiter.Share
		s, share = lease(s, entry, float64(round%40)*3, at)
		held[entry] = share.Rate
		total := 0.0
		for _, rate := range held {
			total += rate
		}
		if total > limit*1.000001 && round > entries {
			t.Fatalf("round %d: %.2f leased of a limit of %.0f", round, total, limit)
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	at := start.Add(time.Minute)
	s := home(t, 9, at)
	var busy, quiet limiter.Share
	for range 10 {
		at = at.Add(time.Second)
		s, busy = lease(s, "entry-1", 90, at)
		s, quiet = lease(s, "entry-2", 10, at)
	}
	if busy.Rate < 0.85*limit || quiet.Rate < 0.08*limit {
		t.Errorf("demands of 90 and 10 got %.1f and %.1f of a limit of %.0f", busy.Rate, quiet.Rate, limit)
	}
}

func TestNewHomeLeasesEvenParts(t *testing.T) {
	s := home(t, 9, start.Add(time.Second))
	if _, share := lease(s, "entry-1", 90, start.Add(time.Second)); share.Rate > limit/9*1.000001 {
		t.Errorf("a home that does not know the leases of others leases %.1f", share.Rate)
	}
}

func TestUnreachableHomesFallBackToAnEvenPart(t *testing.T) {
	s, _ := limiter.Step(limiter.New("entry-1"), limiter.EntriesUpdated{Names: entryNames(10), At: start})
	demand := limiter.Demand{Key: key, Limit: limit, Rate: 90}
	s, _ = limiter.Step(s, limiter.HomesUnreachable{Demands: []limiter.Demand{demand}, At: start})
	if rate, ok := s.Rate(key, start); !ok || rate != limit/10 {
		t.Errorf("got a rate of %.1f, %t", rate, ok)
	}
}

func TestBucket(t *testing.T) {
	taken, b := 0, limiter.NewBucket()
	for i := range 1000 {
		var ok bool
		if b, _, ok = b.WithTokenTaken(10, start.Add(time.Duration(i)*10*time.Millisecond)); ok {
			taken++
		}
	}
	if taken < 100 || taken > 110 {
		t.Errorf("%d of 1000 requests in 10 s passed at a rate of 10 per second", taken)
	}
}
