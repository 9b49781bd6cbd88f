package catalog

import "slices"

// The limits of the records in the head and in one archive.
const (
	// MaxRecords is the number of records above which the head's oldest ones move to the archive.
	MaxRecords = 32
	// archiveBatch is the number of records that move to the archive at a time.
	archiveBatch = 16
	// maxArchiveRecords is the number of records at which an archive is full.
	maxArchiveRecords = 512
	// archiveFillLimit is the number of records up to which an archive has room for another batch.
	archiveFillLimit = maxArchiveRecords - archiveBatch
	// maxChangeLines is the number of lines of changes above which an archive is full, and above which the head's records
	// move to the archive, all but the newest, whose lines do not count.
	maxChangeLines = 4096
)

// Archive is a part with records that moved out of the head; archives form a list, each naming the next older one.
type Archive struct {
	previous string
	records  []Record
}

// NewArchive returns an archive of records, oldest first; previous names the next older archive, empty for none.
func NewArchive(previous string, records ...Record) Archive {
	return Archive{previous: previous, records: records}
}

// Previous returns the name of the next older archive, empty if there is none.
func (a Archive) Previous() string { return a.previous }

// Records returns the records, oldest first, which the caller must not change.
func (a Archive) Records() []Record { return a.records }

// WithRecords returns the archive with newer records added or, if it is full, a new archive of only these records whose
// previous archive is self, the name of the full one.
func (a Archive) WithRecords(self string, records ...Record) Archive {
	if len(a.records) > archiveFillLimit || a.changeLines() > maxChangeLines {
		return NewArchive(self, records...)
	}
	a.records = append(slices.Clip(a.records), records...)
	return a
}

func (a Archive) changeLines() int {
	lines := 0
	for _, r := range a.records {
		lines += len(r.changes)
	}
	return lines
}

// ExcessRecords returns the records to move from the head to the archive, oldest first; the newest record always stays.
func (c Catalog) ExcessRecords() []Record {
	older := c.records[:max(0, len(c.records)-1)]
	lines := 0
	for _, r := range older {
		lines += len(r.changes)
	}
	switch {
	case lines > maxChangeLines:
		return older
	case len(c.records) > MaxRecords:
		return c.records[:archiveBatch]
	}
	return nil
}

// WithArchived returns the catalog without its n oldest records, which the named archive now holds.
func (c Catalog) WithArchived(archive string, n int) Catalog {
	c.records, c.archive = c.records[n:], archive
	return c
}

// Archive returns the name of the newest archive, empty if there is none.
func (c Catalog) Archive() string { return c.archive }

// NewestArchive sets the name of the newest archive.
func NewestArchive(part string) Option { return func(c *Catalog) { c.archive = part } }
