package poller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/poller"
)

func TestPollsStayWithinByteRate(t *testing.T) {
	for _, endpoints := range []int{1, 12, 15, 200, 400, 12_000} {
		interval := poller.Interval(endpoints)
		sum := 0.0
		for i := range 100 {
			sum += poller.NextDelay(interval, 0, (float64(i)+0.5)/100).Seconds() / 100
		}
		if got := float64(endpoints) * poller.BytesPerPoll / sum; got > poller.MaxBytesPerSecond*1.001 {
			t.Errorf("polls of %d endpoints take %.0f bytes a second", endpoints, got)
		}
	}
	if got := poller.Interval(15); got != poller.MinInterval {
		t.Errorf("15 endpoints are polled every %v", got)
	}
}

func TestMissedPollsAreRetriedSooner(t *testing.T) {
	const interval = 16 * time.Second
	last := time.Duration(0)
	for misses, limit := range map[int]time.Duration{1: 1125 * time.Millisecond, 2: 2250 * time.Millisecond, 60: interval * 9 / 8} {
		if got := poller.NextDelay(interval, misses, 1); got > limit {
			t.Errorf("after %d missed polls the next delay is %v, want at most %v", misses, got, limit)
		}
		last = max(last, poller.NextDelay(interval, misses, 0))
	}
	if last < interval/2 {
		t.Errorf("a dead endpoint is still polled every %v", last)
	}
	if got := poller.FirstDelay(interval, 1); got > time.Second {
		t.Errorf("the first poll comes after %v", got)
	}
}

// TestPollsAreSpread guards against bursts of polls: for a subset of 384 endpoints, after the first polls, no window of
// five seconds may exceed the 7,000 bytes per second that a daemon has for all of its control traffic.
func TestPollsAreSpread(t *testing.T) {
	const (
		endpoints = 384
		budget    = 7_000
		window    = 5 * time.Second
	)
	random := rand.New(rand.NewPCG(20261204, endpoints))
	interval := poller.Interval(endpoints)
	bytes := map[int]int{}
	for range endpoints {
		at := poller.FirstDelay(interval, random.Float64())
		for at += poller.SecondDelay(interval, random.Float64()); at < 4*interval; at += poller.NextDelay(interval, 0, random.Float64()) {
			bytes[int(at/window)] += poller.BytesPerPoll
		}
	}
	for at, sum := range bytes {
		if rate := float64(sum) / window.Seconds(); rate > budget {
			t.Errorf("in window %d polls take %.0f bytes a second", at, rate)
		}
	}
}
