package roster

import "maps"

// Change is the difference between two versions of the VM list, or a whole list.
type Change struct {
	from, to uint64
	vms      []VM
	removed  []string
}

// NewChange returns the change from one version to another: rows added or replaced and names of VMs removed; from is 0
// if vms is the whole list.
func NewChange(from, to uint64, vms []VM, removed []string) Change {
	return Change{from: from, to: to, vms: vms, removed: removed}
}

// From returns the version that the change applies to, 0 if it holds the whole list.
func (c Change) From() uint64 { return c.from }

// To returns the version that results from the change.
func (c Change) To() uint64 { return c.to }

// VMs returns the rows that were added or replaced, which the caller must not change.
func (c Change) VMs() []VM { return c.vms }

// Removed returns the names of the VMs removed from the list, which the caller must not change.
func (c Change) Removed() []string { return c.removed }

// Since returns the change that turns old, an earlier version of the list, into r.
func (r Roster) Since(old Roster) Change {
	c := Change{from: old.version, to: r.version}
	for name, vm := range r.vms {
		if before, known := old.vms[name]; !known || before != vm {
			c.vms = append(c.vms, vm)
		}
	}
	for name := range old.vms {
		if _, listed := r.vms[name]; !listed {
			c.removed = append(c.removed, name)
		}
	}
	return c
}

// WithChange returns the list after a change, and the list unchanged and false if the change applies to another
// version.
func (r Roster) WithChange(c Change) (Roster, bool) {
	switch {
	case c.from == 0:
		return New(c.to, c.vms...), true
	case c.from != r.version:
		return r, false
	}
	vms := maps.Clone(r.vms)
	if vms == nil {
		vms = map[string]VM{}
	}
	for _, vm := range c.vms {
		vms[vm.name] = vm
	}
	for _, name := range c.removed {
		delete(vms, name)
	}
	return Roster{version: c.to, vms: vms}, true
}
