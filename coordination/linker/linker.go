package linker

import "slices"

// fanout is how many pairs of entries hang below each pair.
const fanout = 4

// Links are the neighbours of one entry in the tree. The tree consists of pairs of entries in the order of their names:
// the first pair is the root, and both entries of a pair are linked to both entries of the pair above, so that the loss
// of one entry cuts nobody off.
type Links struct {
	// Parents are the entries of the pair above, none for the first pair; Partner is the other entry of the own pair, empty
	// if there is none.
	Parents []string
	Partner string
	// Children are the entries of the pairs below.
	Children []string
}

// New returns the links of an entry among all present ones, which are sorted and include it. It returns no links for a
// name that is not among them.
func New(names []string, self string) Links {
	at, found := slices.BinarySearch(names, self)
	if !found {
		return Links{}
	}
	var l Links
	pair := at / 2
	if pair > 0 {
		l.Parents = pairOf(names, (pair-1)/fanout)
	}
	for _, name := range pairOf(names, pair) {
		if name != self {
			l.Partner = name
		}
	}
	for child := fanout*pair + 1; child <= fanout*(pair+1); child++ {
		l.Children = append(l.Children, pairOf(names, child)...)
	}
	return l
}

// pairOf returns the entries of a pair, at most two.
func pairOf(names []string, pair int) []string {
	from := min(2*pair, len(names))
	return names[from:min(from+2, len(names))]
}

// All returns all neighbours.
func (l Links) All() []string {
	all := slices.Concat(l.Parents, l.Children)
	if l.Partner != "" {
		all = append(all, l.Partner)
	}
	return all
}
