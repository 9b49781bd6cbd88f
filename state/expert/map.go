package expert

import (
	"slices"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindShape says that sizes, counts or expert numbers are inconsistent.
const KindShape Kind = "shape"

// Error reports arguments from which no valid value can be made.
type Error = fault.Error[Kind]

// Map assigns an expert to each slot of each rank in each layer; an expert in several slots is replicated.
type Map struct {
	layers, ranks, slots, experts int
	table                         []uint16
}

// NewMap returns a map of layers × ranks × slots with the experts dealt out round-robin, so that replicas are on
// different ranks, or an Error of KindShape if the experts do not fit.
func NewMap(layers, ranks, slots, experts int) (Map, error) {
	if layers < 1 || ranks < 1 || slots < 1 || experts < 1 || experts > ranks*slots {
		return Map{}, fault.Newf("new map", KindShape, "cannot place %d experts in %d ranks of %d slots", experts, ranks, slots)
	}
	m := Map{layers: layers, ranks: ranks, slots: slots, experts: experts, table: make([]uint16, layers*ranks*slots)}
	for i := range m.table {
		position := i % (ranks * slots)
		rank, slot := position/slots, position%slots
		expert := slot*ranks + rank
		if ranks%experts == 0 {
			expert += slot * experts / slots
		}
		m.table[i] = uint16(expert % experts)
	}
	return m, nil
}

// MapOf returns the map whose slots hold the experts in table, ordered by layer, rank and slot, or an Error of
// KindShape if the numbers are inconsistent or a layer lacks an expert.
func MapOf(layers, ranks, slots, experts int, table []uint16) (Map, error) {
	m, err := NewMap(layers, ranks, slots, experts)
	if err != nil {
		return Map{}, err
	}
	if len(table) != len(m.table) {
		return Map{}, fault.Newf("read map", KindShape, "table has %d slots instead of %d", len(table), len(m.table))
	}
	m.table = slices.Clone(table)
	for layer := range layers {
		held := make([]bool, experts)
		for _, e := range m.layer(layer) {
			if int(e) >= experts {
				return Map{}, fault.Newf("read map", KindShape, "expert number %d is out of range (%d experts) in layer %d", e, experts, layer)
			}
			held[e] = true
		}
		if missing := slices.Index(held, false); missing >= 0 {
			return Map{}, fault.Newf("read map", KindShape, "expert %d is missing from layer %d", missing, layer)
		}
	}
	return m, nil
}

// Layers returns the number of layers.
func (m Map) Layers() int { return m.layers }

// Ranks returns the number of ranks.
func (m Map) Ranks() int { return m.ranks }

// Slots returns the number of slots of each rank in each layer.
func (m Map) Slots() int { return m.slots }

// Experts returns the number of experts in each layer.
func (m Map) Experts() int { return m.experts }

// IsZero reports whether m is the zero value, which stands for no map.
func (m Map) IsZero() bool { return m.layers == 0 }

// Layer returns a copy of one layer's slots, ordered by rank and slot.
func (m Map) Layer(layer int) []uint16 { return slices.Clone(m.layer(layer)) }

// Table returns a copy of all slots, ordered by layer, rank and slot.
func (m Map) Table() []uint16 { return slices.Clone(m.table) }

// Equal reports whether both maps have the same shape and the same expert in every slot.
func (m Map) Equal(other Map) bool {
	return m.layers == other.layers && m.ranks == other.ranks && m.slots == other.slots &&
		m.experts == other.experts && slices.Equal(m.table, other.table)
}

// WithLayer returns the map with one layer's slots replaced.
func (m Map) WithLayer(layer int, slots []uint16) Map {
	m.table = slices.Clone(m.table)
	copy(m.layer(layer), slots)
	return m
}

// WithLayers returns the map with the slots of the given layers replaced; other layers stay as they are.
func (m Map) WithLayers(changed map[int][]uint16) Map {
	m.table = slices.Clone(m.table)
	for layer, slots := range changed {
		copy(m.layer(layer), slots)
	}
	return m
}

// Moves returns how many experts all ranks must load to switch from m to next: those that a rank does not yet hold in
// the layer.
func (m Map) Moves(next Map) int {
	moves := 0
	for i := 0; i < len(m.table); i += m.slots {
		moves += countMissing(m.table[i:i+m.slots], next.table[i:i+m.slots])
	}
	return moves
}

// MovesOf returns how many experts one rank must load to switch from m to next.
func (m Map) MovesOf(next Map, rank int) int {
	moves := 0
	for layer := range m.layers {
		i := (layer*m.ranks + rank) * m.slots
		moves += countMissing(m.table[i:i+m.slots], next.table[i:i+m.slots])
	}
	return moves
}

// countMissing returns how many different experts of want are not in have.
func countMissing(have, want []uint16) int {
	n := 0
	for i, e := range want {
		if !slices.Contains(have, e) && !slices.Contains(want[:i], e) {
			n++
		}
	}
	return n
}

// layer returns one layer's slots, which share memory with the map.
func (m Map) layer(layer int) []uint16 {
	n := m.ranks * m.slots
	return m.table[layer*n : (layer+1)*n]
}
