package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
)

func TestConditions(t *testing.T) {
	const calls = 200
	for name, test := range map[string]struct {
		set  func(*platform.Conditions)
		kind kingcupstile.Kind
		want int
	}{
		"nothing":  {func(*platform.Conditions) {}, "", calls},
		"outage":   {func(c *platform.Conditions) { c.SetDown(true) }, kingcupstile.KindUnavailable, calls},
		"limited":  {func(c *platform.Conditions) { c.SetRateLimits(50, 0) }, kingcupstile.KindLimited, calls - 50},
		"all lost": {func(c *platform.Conditions) { c.SetLossRatio(1) }, kingcupstile.KindUncertain, calls},
	} {
		t.Run(name, func(t *testing.T) {
			c := platform.NewConditions(20261204)
			test.set(c)
			got := 0
			synctest.Test(t, func(t *testing.T) {
				store := platform.New(platform.Faults(c.Fault))
				for range calls {
					o, _ := store.Get(t.Context(), object.KindSuspect, "l")
					_, err := store.Put(t.Context(), object.New(object.KindSuspect, "l", object.Version(o.Version())))
					if fault.KindOf[kingcupstile.Kind](err) == test.kind {
						got++
					}
				}
			})
			if got != test.want {
				t.Errorf("%d of %d writes ended with %q", got, calls, test.kind)
			}
		})
	}
}

func TestWaitingAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := platform.NewConditions(20261204)
		store := platform.New(platform.Faults(c.Fault))
		go func() { _, _ = store.Watch(t.Context(), object.KindSuspect, "l", 0) }()
		synctest.Wait()
		if store.OpenWatches() != 1 {
			t.Errorf("%d watches are open", store.OpenWatches())
		}
		c.SetDelay(time.Second)
		began := time.Now()
		if _, err := store.Put(t.Context(), object.New(object.KindSuspect, "l")); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != time.Second {
			t.Errorf("the put took %v, want the delay of 1s", took)
		}
		synctest.Wait()
		if store.OpenWatches() != 0 {
			t.Errorf("%d watches are open", store.OpenWatches())
		}
	})
}
