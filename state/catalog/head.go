package catalog

// Head is the content of the one object that makes a version current: the version, the drained VMs, the newest records
// and the names of its parts and of the newest archive.
type Head struct {
	version uint64
	drained []string
	records []Record
	archive string
	parts   []string
}

// NewHead returns the head of c, whose parts have the given names.
func NewHead(c Catalog, parts ...string) Head {
	return Head{version: c.version, drained: c.Drained(), records: c.records, archive: c.archive, parts: parts}
}

// Version returns the configuration's version.
func (h Head) Version() uint64 { return h.version }

// Drained returns the VMs that get no new work, which the caller must not change.
func (h Head) Drained() []string { return h.drained }

// Records returns the newest records of the audit trail, oldest first, which the caller must not change.
func (h Head) Records() []Record { return h.records }

// Archive returns the name of the newest archive, empty if there is none.
func (h Head) Archive() string { return h.archive }

// Parts returns the names of the parts, which the caller must not change.
func (h Head) Parts() []string { return h.parts }
