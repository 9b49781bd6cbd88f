package ranker

import (
	"sync"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// kept is how many maps are remembered: the one in use and some that were given up.
const kept = 4

// layouts remembers maps that passed here lately, so that later ones can be sent as changes of them.
type layouts struct {
	mu   sync.Mutex
	list []remembered
}

type remembered struct {
	epoch, version uint64
	layout         rank.Layout
}

func newLayouts() *layouts { return &layouts{} }

// put remembers the map of a version.
func (l *layouts) put(epoch, version uint64, layout rank.Layout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.list {
		if r.epoch == epoch && r.version == version {
			return
		}
	}
	l.list = append(l.list, remembered{epoch: epoch, version: version, layout: layout})
	if len(l.list) > kept {
		l.list = l.list[1:]
	}
}

// get returns the map of a version, and false if it is not remembered.
func (l *layouts) get(epoch, version uint64) (rank.Layout, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.list {
		if r.epoch == epoch && r.version == version {
			return r.layout, true
		}
	}
	return nil, false
}

// last returns the newest map of an epoch with its version, and false if there is none.
func (l *layouts) last(epoch uint64) (uint64, rank.Layout, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.list); n > 0 && l.list[n-1].epoch == epoch {
		return l.list[n-1].version, l.list[n-1].layout, true
	}
	return 0, nil, false
}
