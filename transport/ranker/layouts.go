package ranker

import (
	"sync"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// maxLayouts is how many maps are kept: the one in use and some of switches that were aborted.
const maxLayouts = 4

// layoutCache keeps the maps received last, so that later ones can be received as changes of them.
type layoutCache struct {
	mu   sync.Mutex
	list []versionedLayout
}

// versionedLayout is the map of a version.
type versionedLayout struct {
	epoch, version uint64
	layout         rank.Layout
}

func newLayoutCache() *layoutCache { return &layoutCache{} }

// put adds the map of a version unless it is there, and evicts the oldest map beyond maxLayouts.
func (l *layoutCache) put(epoch, version uint64, layout rank.Layout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.list {
		if r.epoch == epoch && r.version == version {
			return
		}
	}
	l.list = append(l.list, versionedLayout{epoch: epoch, version: version, layout: layout})
	if len(l.list) > maxLayouts {
		l.list = l.list[1:]
	}
}

// get returns the map of a version, and false if it is not kept.
func (l *layoutCache) get(epoch, version uint64) (rank.Layout, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.list {
		if r.epoch == epoch && r.version == version {
			return r.layout, true
		}
	}
	return nil, false
}
