package limiter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHomes is how many entries may lease shares of one limit: the home, and one that is asked if it does not answer.
const maxHomes = 2

// membership is the set of entries from a time on.
type membership struct {
	names []string
	since time.Time
}

// homes returns the entries that may lease shares for a key, in order of preference, by rendezvous hashing.
func (m membership) homes(k Key) []string {
	var best [maxHomes]string
	var weights [maxHomes]uint64
	seed := xxhash.Sum64(k.bytes())
	for _, name := range m.names {
		weight := rendezvousWeight(seed, name)
		for i := range best {
			if best[i] == "" || weight > weights[i] {
				copy(best[i+1:], best[i:maxHomes-1])
				copy(weights[i+1:], weights[i:maxHomes-1])
				best[i], weights[i] = name, weight
				break
			}
		}
	}
	return slices.DeleteFunc(best[:], func(name string) bool { return name == "" })
}

func rendezvousWeight(seed uint64, name string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
