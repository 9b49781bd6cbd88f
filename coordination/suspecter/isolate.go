package suspecter

import (
	"slices"

	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// IsolationEndpoint returns the endpoint of a named pool on which suspects run alone, and false if none outside avoid
// is usable. All entries that see the same pool choose the same endpoint, so that at most one of it is kept free for
// suspects.
func IsolationEndpoint(p pool.Pool, name string, avoid []string) (roster.Endpoint, bool) {
	if p.Len() == 0 {
		return roster.Endpoint{}, false
	}
	first := p.Successor(pool.Position("suspects of " + name))
	for n := range p.Len() {
		e := p.At((first + n) % p.Len())
		if e.State().IsUsable() && !slices.Contains(avoid, e.Name()) {
			return *e, true
		}
	}
	return roster.Endpoint{}, false
}
