package binder_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

var now = time.Unix(1_800_000_000, 0)

// FuzzParse checks that every accepted key has all fields and an expiry in range, and that its ticket encodes and
// parses back to the same ticket.
func FuzzParse(f *testing.F) {
	good := binder.New("desk-1", "first", now.Add(time.Hour), "nonce").Key()
	for _, key := range []string{
		good, good + "~", good + "\x00", strings.ToUpper(good), "", "kt1~~~~", "kt1~desk-1~first~-1~n", "kt1~d~i~zzzzzzzzzzzzzz~n",
		"kt1~d\n~i~tpt8ao~n", "kt1~d~i~tpt8ao~" + strings.Repeat("n", binder.MaxKeyLength),
	} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		ticket, err := binder.Parse(key, now)
		if err != nil {
			if fault.KindOf[binder.Kind](err) == "" {
				t.Errorf("%q: error without a kind: %v", key, err)
			}
			return
		}
		distant := ticket.Expiry().After(now.Add(binder.MaxLifetime + time.Hour))
		if distant || !ticket.Expiry().After(now) || ticket.Endpoint() == "" || ticket.Incarnation() == "" || len(key) > binder.MaxKeyLength {
			t.Errorf("%q was accepted as %+v", key, ticket)
		}
		again, err := binder.Parse(ticket.Key(), now)
		if err != nil || again != ticket {
			t.Errorf("%q was parsed again as %q, %v", key, ticket.Key(), err)
		}
	})
}
