package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a configuration could not be split or joined.
type Kind string

// The kinds of failure: a value that could not be encoded or decoded, a part that could not be fetched, and a part
// whose content does not match its name.
const (
	KindCodec   Kind = "codec"
	KindMissing Kind = "missing"
	KindContent Kind = "content"
)

// Error is a failure to split or join a configuration.
type Error = fault.Error[Kind]

// nameLength is how many bytes of the hash of a part's value make up its name.
const nameLength = 16

// encodedPart is a part of the configuration with its encoded value.
type encodedPart struct {
	value []byte
	part  catalog.Part
}

// Assembly is one version of the configuration together with its encoded head and parts.
type Assembly struct {
	catalog catalog.Catalog
	head    []byte
	parts   map[string]encodedPart
}

// New returns the configuration before the first version, which has no head and no parts.
func New() Assembly { return Assembly{catalog: catalog.New()} }

// Catalog returns the configuration.
func (a Assembly) Catalog() catalog.Catalog { return a.catalog }

// Version returns the configuration's version.
func (a Assembly) Version() uint64 { return a.catalog.Version() }

// Head returns the encoded head, which the caller must not change.
func (a Assembly) Head() []byte { return a.head }

// Part returns an encoded part, which the caller must not change, and false if the configuration has no such part.
func (a Assembly) Part(name string) ([]byte, bool) {
	p, ok := a.parts[name]
	return p.value, ok
}

// PartsNotIn returns the encoded parts of a that other does not have, by name.
func (a Assembly) PartsNotIn(other Assembly) map[string][]byte {
	values := map[string][]byte{}
	for name, p := range a.parts {
		if _, known := other.parts[name]; !known {
			values[name] = p.value
		}
	}
	return values
}

// PartName returns the name of a part with the given encoded value, a truncated SHA-256 hash in hexadecimal.
func PartName(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:nameLength])
}

// Split encodes a configuration as a head and parts, or returns an Error of KindCodec.
func Split(codec kingcupstile.CatalogCodec, c catalog.Catalog) (Assembly, error) {
	a := Assembly{catalog: c, parts: map[string]encodedPart{}}
	var names []string
	for _, part := range catalog.Split(c) {
		value, err := codec.EncodePart(part)
		if err != nil {
			return Assembly{}, fault.New("split configuration", KindCodec, err)
		}
		name := PartName(value)
		names = append(names, name)
		a.parts[name] = encodedPart{value: value, part: part}
	}
	head, err := codec.EncodeHead(catalog.NewHead(c, names...))
	if err != nil {
		return Assembly{}, fault.New("split configuration", KindCodec, err)
	}
	a.head = head
	return a, nil
}

// FetchFunc returns the encoded parts with the given names, by name; Join fails if one of them is missing.
type FetchFunc func(ctx context.Context, names []string) (map[string][]byte, error)

// Join decodes the configuration whose encoded head is value and fetches only those parts that known does not have; it
// returns an Error of KindCodec, KindMissing or KindContent.
func Join(ctx context.Context, codec kingcupstile.CatalogCodec, value []byte, known Assembly, fetch FetchFunc) (Assembly, error) {
	head, err := codec.DecodeHead(value)
	if err != nil {
		return Assembly{}, fault.New("join configuration", KindCodec, err)
	}
	a := Assembly{head: value, parts: make(map[string]encodedPart, len(head.Parts()))}
	var missing []string
	for _, name := range head.Parts() {
		if p, ok := known.parts[name]; ok {
			a.parts[name] = p
		} else {
			missing = append(missing, name)
		}
	}
	fetched, err := fetchAll(ctx, codec, missing, fetch)
	if err != nil {
		return Assembly{}, err
	}
	maps.Copy(a.parts, fetched)
	parts := make([]catalog.Part, len(head.Parts()))
	for i, name := range head.Parts() {
		parts[i] = a.parts[name].part
	}
	a.catalog = catalog.Join(head, parts...)
	return a, nil
}

func fetchAll(ctx context.Context, codec kingcupstile.CatalogCodec, names []string, fetch FetchFunc) (map[string]encodedPart, error) {
	parts := make(map[string]encodedPart, len(names))
	if len(names) == 0 {
		return parts, nil
	}
	values, err := fetch(ctx, names)
	if err != nil {
		return nil, fault.New("fetch parts", KindMissing, err)
	}
	for _, name := range names {
		value, ok := values[name]
		if !ok {
			return nil, fault.Newf("fetch parts", KindMissing, "%s", name)
		}
		if PartName(value) != name {
			return nil, fault.Newf("fetch parts", KindContent, "content of part %s does not match its hash", name)
		}
		part, err := codec.DecodePart(value)
		if err != nil {
			return nil, fault.New("fetch parts", KindCodec, err)
		}
		parts[name] = encodedPart{value: value, part: part}
	}
	return parts, nil
}
