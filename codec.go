package kingcupstile

import (
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// CatalogCodec encodes the pieces of a configuration as values of platform objects and decodes them;
// a value that cannot be decoded yields an Error of KindInvalid.
type CatalogCodec interface {
	// EncodeHead returns the value to store for a head.
	EncodeHead(h catalog.Head) ([]byte, error)
	// DecodeHead returns the head that a value holds.
	DecodeHead(value []byte) (catalog.Head, error)
	// EncodePart returns the value to store for a part; equal parts have equal values, as a part is named by its content.
	EncodePart(p catalog.Part) ([]byte, error)
	// DecodePart returns the part that a value holds.
	DecodePart(value []byte) (catalog.Part, error)
	// EncodeArchive returns the value to store for archived records.
	EncodeArchive(a catalog.Archive) ([]byte, error)
	// DecodeArchive returns the archived records that a value holds.
	DecodeArchive(value []byte) (catalog.Archive, error)
}

// SuspectCodec encodes the table of suspects as a platform object's value and decodes it.
type SuspectCodec interface {
	// Encode returns the value to store for a table.
	Encode(t suspect.Table) ([]byte, error)
	// Decode returns the table that a value holds, or an Error of KindInvalid.
	Decode(value []byte) (suspect.Table, error)
}
