package linker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/linker"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("e-%04d", i)
	}
	return list
}

// TestLinksReachEveryEntry has news start at the first two entries and pass along the links: at any number of entries it
// reaches all in few steps, and each entry has few links. It also does so while any one entry is lost.
func TestLinksReachEveryEntry(t *testing.T) {
	for n, steps := range map[int]int{1: 0, 2: 1, 13: 2, 40: 3, 148: 4, 1000: 5} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			list := names(n)
			links := map[string]linker.Links{}
			for _, name := range list {
				links[name] = linker.New(list, name)
				if got := len(links[name].All()); got > 11 {
					t.Errorf("%s has %d links", name, got)
				}
				for _, other := range links[name].All() {
					if !slices.Contains(linker.New(list, other).All(), name) {
						t.Errorf("%s is linked to %s, but not the other way", name, other)
					}
				}
			}
			for _, lost := range []string{"", list[0], list[n/2], list[n-1]} {
				if reached := spread(list, links, lost, steps); len(reached) != n && n > 1 {
					t.Errorf("without %q, %d of %d are reached in %d steps", lost, len(reached), n, steps)
				}
			}
		})
	}
}

// spread passes news from the first two entries along the links and returns whom it reached, counting a lost entry.
func spread(list []string, links map[string]linker.Links, lost string, steps int) map[string]bool {
	reached := map[string]bool{}
	for _, name := range list[:min(2, len(list))] {
		reached[name] = true
	}
	if lost != "" {
		reached[lost] = true
	}
	for range steps {
		var next []string
		for name := range reached {
			if name != lost {
				next = append(next, links[name].All()...)
			}
		}
		for _, name := range next {
			reached[name] = true
		}
	}
	return reached
}

func TestUnknownEntryHasNoLinks(t *testing.T) {
	if got := linker.New(names(5), "other").All(); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}
