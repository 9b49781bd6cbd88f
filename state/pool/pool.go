package pool

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/roster"
)

// chunkSize is the number of endpoints in a chunk, which a change of one endpoint copies.
const chunkSize = 16

// Pool is the set of endpoints of one pool that a daemon knows, each at its position on the hash ring.
type Pool struct {
	positions     []uint64
	chunks        []*chunk
	usable        int
	ownAttempts   int
	otherAttempts int
}

// chunk is a run of consecutive endpoints; versions of a pool share it until one of its endpoints changes.
type chunk [chunkSize]roster.Endpoint

// Position returns an endpoint's position on the hash ring, which is the same in every daemon.
func Position(name string) uint64 { return xxhash.Sum64String(name) }

// New returns a pool of the given endpoints, whose names must be distinct.
func New(endpoints ...roster.Endpoint) Pool {
	type placed struct {
		position uint64
		index    int
	}
	order := make([]placed, len(endpoints))
	for i, e := range endpoints {
		order[i] = placed{position: Position(e.Name()), index: i}
	}
	slices.SortFunc(order, func(a, b placed) int {
		if a.position != b.position {
			return cmp.Compare(a.position, b.position)
		}
		return cmp.Compare(endpoints[a.index].Name(), endpoints[b.index].Name())
	})
	p := Pool{
		positions: make([]uint64, len(endpoints)),
		chunks:    make([]*chunk, (len(endpoints)+chunkSize-1)/chunkSize),
	}
	for i := range p.chunks {
		p.chunks[i] = &chunk{}
	}
	for i, o := range order {
		p.positions[i] = o.position
		p.chunks[i/chunkSize][i%chunkSize] = endpoints[o.index]
		p.adjustTotals(endpoints[o.index], 1)
	}
	return p
}

// Len returns the number of endpoints.
func (p Pool) Len() int { return len(p.positions) }

// Usable returns the number of endpoints that get new work.
func (p Pool) Usable() int { return p.usable }

// MeanAttempts returns the mean numbers of this daemon's and of other daemons' attempts, as last reported, per endpoint
// that gets new work.
func (p Pool) MeanAttempts() (own, others float64) {
	if p.usable == 0 {
		return 0, 0
	}
	return float64(p.ownAttempts) / float64(p.usable), float64(p.otherAttempts) / float64(p.usable)
}

// At returns the endpoint at an index from 0, in order of positions, which the caller must not change.
func (p Pool) At(i int) *roster.Endpoint { return &p.chunks[i/chunkSize][i%chunkSize] }

// Position returns the position on the ring of the endpoint at an index.
func (p Pool) Position(i int) uint64 { return p.positions[i] }

// Successor returns the index of the first endpoint at or after a position, wrapping round at the end of the ring; the
// pool must not be empty.
func (p Pool) Successor(position uint64) int {
	i := p.search(position)
	if i == len(p.positions) {
		return 0
	}
	return i
}

// search returns the first index whose position is at or after the given one. It starts at an interpolated index, since
// positions are spread evenly, and widens the range before the binary search.
func (p Pool) search(position uint64) int {
	n := len(p.positions)
	guess, _ := bits.Mul64(position, uint64(n))
	low, high := int(guess), int(guess)
	for step := 1; low > 0 && p.positions[low-1] >= position; step *= 2 {
		low = max(0, low-step)
	}
	for step := 1; high < n && p.positions[high] < position; step *= 2 {
		high = min(n, high+step)
	}
	i, _ := slices.BinarySearch(p.positions[low:high], position)
	return low + i
}

// Find returns the index of the named endpoint.
func (p Pool) Find(name string) (int, bool) {
	position := Position(name)
	for i := p.search(position); i < len(p.positions) && p.positions[i] == position; i++ {
		if p.At(i).Name() == name {
			return i, true
		}
	}
	return 0, false
}

// WithAt returns the pool with the endpoint at an index replaced by one of the same name.
func (p Pool) WithAt(i int, e roster.Endpoint) Pool {
	p.adjustTotals(*p.At(i), -1)
	p.adjustTotals(e, 1)
	changed := *p.chunks[i/chunkSize]
	changed[i%chunkSize] = e
	p.chunks = slices.Clone(p.chunks)
	p.chunks[i/chunkSize] = &changed
	return p
}

// WithStates returns the pool with the endpoints' states replaced by those given, in order of positions.
func (p Pool) WithStates(states []roster.State) Pool {
	old := p.chunks
	p.chunks, p.usable, p.ownAttempts, p.otherAttempts = slices.Clone(old), 0, 0, 0
	for i, s := range states {
		at := i / chunkSize
		if s != p.At(i).State() {
			if p.chunks[at] == old[at] {
				changed := *old[at]
				p.chunks[at] = &changed
			}
			p.chunks[at][i%chunkSize] = p.At(i).WithState(s)
		}
		p.adjustTotals(*p.At(i), 1)
	}
	return p
}

// Without returns the pool without the named endpoints.
func (p Pool) Without(names ...string) Pool {
	remaining := p.Endpoints()
	return New(slices.DeleteFunc(remaining, func(e roster.Endpoint) bool { return slices.Contains(names, e.Name()) })...)
}

// Endpoints returns all endpoints in order of names.
func (p Pool) Endpoints() []roster.Endpoint {
	endpoints := make([]roster.Endpoint, 0, p.Len())
	for i := range p.Len() {
		endpoints = append(endpoints, *p.At(i))
	}
	slices.SortFunc(endpoints, func(a, b roster.Endpoint) int { return cmp.Compare(a.Name(), b.Name()) })
	return endpoints
}

// adjustTotals adds (sign 1) or subtracts (sign -1) an endpoint's share of the totals over usable endpoints.
func (p *Pool) adjustTotals(e roster.Endpoint, sign int) {
	if e.State().IsUsable() {
		p.usable += sign
		p.ownAttempts += sign * e.OwnAttempts()
		p.otherAttempts += sign * e.OtherAttempts()
	}
}
