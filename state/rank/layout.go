package rank

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Layout lists the experts that each rank holds, indexed by set of layers and rank, in ascending order; it must not be
// modified.
type Layout [][][]int

// HasExperts reports whether the layout assigns to rank r exactly the given experts, listed by set, in any
// order within a set.
func (l Layout) HasExperts(r int, experts [][]int) bool {
	if len(experts) != len(l) {
		return false
	}
	for i := range l {
		if r >= len(l[i]) || !slices.Equal(l[i][r], slices.Sorted(slices.Values(experts[i]))) {
			return false
		}
	}
	return true
}

// Experts returns the number of experts in a set, taken from the highest one in the layout.
func (l Layout) Experts() int {
	highest := -1
	for _, set := range l {
		for _, experts := range set {
			for _, e := range experts {
				highest = max(highest, e)
			}
		}
	}
	return highest + 1
}

// Sum returns a hash of the layout; layouts that differ have different sums but for a chance of one in 2^64.
func (l Layout) Sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	buffer := make([]byte, 0, 64)
	for _, set := range l {
		buffer = binary.AppendUvarint(buffer[:0], uint64(len(set)))
		for _, experts := range set {
			buffer = binary.AppendUvarint(buffer, uint64(len(experts)))
			for _, e := range experts {
				buffer = binary.AppendUvarint(buffer, uint64(e))
			}
			_, _ = d.Write(buffer)
			buffer = buffer[:0]
		}
	}
	return d.Sum64()
}

// Change is the addition of an expert to a rank or, if Dropped is set, its removal.
type Change struct {
	Set, Rank, Expert int
	Dropped           bool
}

// Changes returns the changes that turn from, a layout of the same shape, into l.
func (l Layout) Changes(from Layout) []Change {
	var list []Change
	for i := range l {
		for r := range l[i] {
			for _, e := range l[i][r] {
				if !slices.Contains(from[i][r], e) {
					list = append(list, Change{Set: i, Rank: r, Expert: e})
				}
			}
			for _, e := range from[i][r] {
				if !slices.Contains(l[i][r], e) {
					list = append(list, Change{Set: i, Rank: r, Expert: e, Dropped: true})
				}
			}
		}
	}
	return list
}

// WithChanges returns the layout after changes, and false if one of them does not apply: its set or rank is out of
// range, or it adds an expert that is there or drops one that is not.
func (l Layout) WithChanges(changes []Change) (Layout, bool) {
	next := make(Layout, len(l))
	for i := range l {
		next[i] = slices.Clone(l[i])
	}
	for _, c := range changes {
		if c.Set >= len(next) || c.Rank >= len(next[c.Set]) {
			return nil, false
		}
		held := next[c.Set][c.Rank]
		at, there := slices.BinarySearch(held, c.Expert)
		switch {
		case there != c.Dropped:
			return nil, false
		case there:
			next[c.Set][c.Rank] = slices.Delete(slices.Clone(held), at, at+1)
		default:
			next[c.Set][c.Rank] = slices.Insert(slices.Clone(held), at, c.Expert)
		}
	}
	return next, true
}
