package publisher

import (
	"context"
	"slices"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/assembler"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
)

// maxPartWrites is how often the write of a part is attempted while its outcome is uncertain; parts are
// content-addressed, so that repeating the write is harmless.
const maxPartWrites = 3

// PartFetcher returns a function that reads parts from a store, and fails with the error of the first that it cannot
// read.
func PartFetcher(store kingcupstile.Store) assembler.FetchFunc {
	return func(ctx context.Context, names []string) (map[string][]byte, error) {
		values := make(map[string][]byte, len(names))
		for _, name := range names {
			o, err := store.Get(ctx, object.KindPart, name)
			if err != nil {
				return nil, err
			}
			values[name] = o.Value()
		}
		return values, nil
	}
}

// Records returns the audit records of the versions above after, oldest first; those that c no longer holds are read
// from the archive, and an Error of KindPlatform is returned if that fails.
func (p *Publisher) Records(ctx context.Context, c catalog.Catalog, after uint64) ([]catalog.Record, error) {
	records := c.Records()
	for name := c.Archive(); name != "" && oldestVersion(records) > after+1; {
		archive, err := p.readArchive(ctx, name)
		if err != nil {
			return nil, err
		}
		records = slices.Concat(archive.Records(), records)
		name = archive.Previous()
	}
	return slices.DeleteFunc(slices.Clone(records), func(r catalog.Record) bool { return r.To() <= after }), nil
}

func oldestVersion(records []catalog.Record) uint64 { return records[0].To() }

func (p *Publisher) readArchive(ctx context.Context, name string) (catalog.Archive, error) {
	o, err := p.store.Get(ctx, object.KindPart, name)
	if err != nil {
		return catalog.Archive{}, fault.New("read archive", KindPlatform, err)
	}
	archive, err := p.codec.DecodeArchive(o.Value())
	if err != nil {
		return catalog.Archive{}, fault.New("read archive", KindPlatform, err)
	}
	return archive, nil
}

// archiveSurplus moves the oldest audit records from the head to an archive part once the head holds too many.
func (p *Publisher) archiveSurplus(ctx context.Context, c catalog.Catalog) (catalog.Catalog, error) {
	surplus := c.ExcessRecords()
	if len(surplus) == 0 {
		return c, nil
	}
	var newest catalog.Archive
	if c.Archive() != "" {
		read, err := p.readArchive(ctx, c.Archive())
		if err != nil {
			return catalog.Catalog{}, err
		}
		newest = read
	}
	value, err := p.codec.EncodeArchive(newest.WithRecords(c.Archive(), surplus...))
	if err != nil {
		return catalog.Catalog{}, fault.New("archive", KindPlatform, err)
	}
	if err := p.writePart(ctx, value); err != nil {
		return catalog.Catalog{}, err
	}
	return c.WithArchived(assembler.PartName(value), len(surplus)), nil
}

// writePart creates a part; a conflict means that it exists already, with the same content.
func (p *Publisher) writePart(ctx context.Context, value []byte) error {
	if err := checkSize(value); err != nil {
		return err
	}
	var err error
	for range maxPartWrites {
		_, err = p.store.Put(ctx, object.New(object.KindPart, assembler.PartName(value), object.Value(value)))
		switch fault.KindOf[kingcupstile.Kind](err) {
		case "", kingcupstile.KindConflict:
			return nil
		case kingcupstile.KindUncertain:
			continue
		}
		break
	}
	return fault.New("write part", KindPlatform, err)
}

func checkSize(value []byte) error {
	if len(value) > object.MaxValueBytes {
		return fault.Newf("publish", KindTooLarge, "value of %d bytes exceeds the platform's limit of %d", len(value), object.MaxValueBytes)
	}
	return nil
}
