package roster

import (
	"maps"
	"slices"
)

// Roster is one version of the VM list.
type Roster struct {
	version uint64
	vms     map[string]VM
}

// New returns the given version of the VM list, with the given rows.
func New(version uint64, vms ...VM) Roster {
	r := Roster{version: version, vms: make(map[string]VM, len(vms))}
	for _, v := range vms {
		r.vms[v.name] = v
	}
	return r
}

// Version returns the list's version.
func (r Roster) Version() uint64 { return r.version }

// VM returns the named VM, and false if it is not listed.
func (r Roster) VM(name string) (VM, bool) {
	v, ok := r.vms[name]
	return v, ok
}

// VMs returns all VMs in order of names.
func (r Roster) VMs() []VM {
	vms := make([]VM, 0, len(r.vms))
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		vms = append(vms, r.vms[name])
	}
	return vms
}

// WithVM returns the next version of the list with v added or replaced.
func (r Roster) WithVM(v VM) Roster {
	r.vms = maps.Clone(r.vms)
	if r.vms == nil {
		r.vms = map[string]VM{}
	}
	r.vms[v.name] = v
	r.version++
	return r
}
