package counter_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/counter"
)

func TestCountsAreExact(t *testing.T) {
	const endpoints, attempts = 200, 50
	c := counter.New()
	var group sync.WaitGroup
	for i := range attempts {
		group.Go(func() {
			for e := range endpoints {
				done := c.Open(fmt.Sprint(e))
				c.Fail(fmt.Sprint(e))
				if i%2 == 0 {
					done()
					done()
				}
			}
		})
	}
	group.Wait()
	for e := range endpoints {
		if open, failures := c.Count(fmt.Sprint(e)); open != attempts/2 || failures != attempts {
			t.Fatalf("endpoint %d: %d open and %d failures, want %d and %d", e, open, failures, attempts/2, attempts)
		}
	}
}

func TestFailuresDecay(t *testing.T) {
	c := counter.New()
	for range 5 {
		c.Fail("a")
	}
	c.Decay("a")
	if _, failures := c.Count("a"); failures != 2 {
		t.Errorf("%d failures, want 2", failures)
	}
	c.Remove("a")
	if open, failures := c.Count("a"); open != 0 || failures != 0 {
		t.Errorf("%d open and %d failures after the endpoint was removed", open, failures)
	}
}

func TestOnFailureIsCalled(t *testing.T) {
	var reported []string
	c := counter.New(counter.OnFailure(func(endpoint string) { reported = append(reported, endpoint) }))
	c.Fail("draft-1")
	c.Succeed("draft-1")
	c.Fail("draft-2")
	if want := []string{"draft-1", "draft-2"}; !slices.Equal(reported, want) {
		t.Errorf("called for %v, want %v", reported, want)
	}
}
