package translator

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
)

// CatalogCodec implements kingcupstile.CatalogCodec with gzip-compressed documents.
type CatalogCodec struct{}

type headDocument struct {
	Version uint64           `json:"version"`
	Parts   []string         `json:"parts"`
	Drained []string         `json:"drained,omitempty"`
	Records []recordDocument `json:"records"`
	Archive string           `json:"archive,omitempty"`
}

type partDocument struct {
	Services []serviceDocument          `json:"services,omitempty"`
	Grants   map[string][]grantDocument `json:"grants,omitempty"`
	Accounts []accountDocument          `json:"accounts,omitempty"`
}

type archiveDocument struct {
	Previous string           `json:"previous,omitempty"`
	Records  []recordDocument `json:"records"`
}

type serviceDocument struct {
	Name    string        `json:"name"`
	Mode    catalog.Mode  `json:"mode"`
	Pool    string        `json:"pool"`
	Source  string        `json:"source"`
	Timeout time.Duration `json:"timeout"`
	Wait    time.Duration `json:"wait"`
	Retry   float64       `json:"retry"`
	Repeat  []string      `json:"repeat,omitempty"`
	// Weight is the weight of skew against moves of experts, in hundredths.
	Weight int `json:"weight,omitempty"`
	// Freeze lists the periods of each week in which no expert moves.
	Freeze []freezeDocument `json:"freeze,omitempty"`
}

// freezeDocument is a period between two times since Monday 00:00 UTC.
type freezeDocument struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

type grantDocument struct {
	Account  string `json:"account"`
	Limit    int    `json:"limit,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

type accountDocument struct {
	Name   string   `json:"name"`
	Source string   `json:"source"`
	Hashes []string `json:"hashes"`
}

type recordDocument struct {
	IdempotencyKey string    `json:"writer"`
	Author         string    `json:"author"`
	At             time.Time `json:"at"`
	From           uint64    `json:"from"`
	To             uint64    `json:"to"`
	Changes        []string  `json:"changes"`
}

// EncodeHead returns the head as compressed JSON.
func (CatalogCodec) EncodeHead(h catalog.Head) ([]byte, error) {
	return compress(headDocument{
		Version: h.Version(), Parts: h.Parts(), Drained: h.Drained(),
		Records: encodeRecords(h.Records()), Archive: h.Archive(),
	})
}

// DecodeHead returns the head that compressed JSON holds, or an Error of KindInvalid.
func (CatalogCodec) DecodeHead(value []byte) (catalog.Head, error) {
	var document headDocument
	if err := decompress("decode head", value, &document); err != nil {
		return catalog.Head{}, err
	}
	return catalog.NewHead(catalog.New(
		catalog.Version(document.Version),
		catalog.Drained(document.Drained...),
		catalog.Records(decodeRecords(document.Records)...),
		catalog.NewestArchive(document.Archive),
	), document.Parts...), nil
}

// EncodePart returns the part as compressed JSON.
func (CatalogCodec) EncodePart(p catalog.Part) ([]byte, error) {
	document := partDocument{Grants: make(map[string][]grantDocument, len(p.Grants()))}
	for _, s := range p.Services() {
		document.Services = append(document.Services, encodeService(s))
	}
	for service, grants := range p.Grants() {
		for _, g := range grants {
			encoded := grantDocument{Account: g.Account(), Limit: g.Limit(), Priority: g.Priority()}
			document.Grants[service] = append(document.Grants[service], encoded)
		}
	}
	for _, a := range p.Accounts() {
		document.Accounts = append(document.Accounts, accountDocument{Name: a.Name(), Source: a.Source(), Hashes: a.Hashes()})
	}
	return compress(document)
}

// DecodePart returns the part that compressed JSON holds, or an Error of KindInvalid.
func (CatalogCodec) DecodePart(value []byte) (catalog.Part, error) {
	var document partDocument
	if err := decompress("decode part", value, &document); err != nil {
		return catalog.Part{}, err
	}
	services := make([]catalog.Service, len(document.Services))
	for i, s := range document.Services {
		services[i] = decodeService(s)
	}
	grants := make(map[string][]catalog.Grant, len(document.Grants))
	for service, encoded := range document.Grants {
		for _, g := range encoded {
			grants[service] = append(grants[service], catalog.NewGrant(g.Account, g.Limit, g.Priority))
		}
	}
	accounts := make([]catalog.Account, len(document.Accounts))
	for i, a := range document.Accounts {
		accounts[i] = catalog.NewAccount(a.Name, a.Source, a.Hashes...)
	}
	return catalog.NewPart(services, grants, accounts), nil
}

// EncodeArchive returns archived records as compressed JSON.
func (CatalogCodec) EncodeArchive(a catalog.Archive) ([]byte, error) {
	return compress(archiveDocument{Previous: a.Previous(), Records: encodeRecords(a.Records())})
}

// DecodeArchive returns the archived records that compressed JSON holds, or an Error of KindInvalid.
func (CatalogCodec) DecodeArchive(value []byte) (catalog.Archive, error) {
	var document archiveDocument
	if err := decompress("decode archive", value, &document); err != nil {
		return catalog.Archive{}, err
	}
	return catalog.NewArchive(document.Previous, decodeRecords(document.Records)...), nil
}

func encodeService(s catalog.Service) serviceDocument {
	document := serviceDocument{
		Name: s.Name(), Mode: s.Mode(), Pool: s.Pool(), Source: s.Source(), Timeout: s.Timeout(),
		Wait: s.MaxQueueWait(), Retry: s.RetryShare(), Repeat: s.Repeatable(), Weight: s.SkewWeight(),
	}
	for _, f := range s.Freezes() {
		document.Freeze = append(document.Freeze, freezeDocument{From: f.From(), To: f.To()})
	}
	return document
}

func encodeRecords(records []catalog.Record) []recordDocument {
	documents := make([]recordDocument, len(records))
	for i, r := range records {
		documents[i] = recordDocument{
			IdempotencyKey: r.IdempotencyKey(), Author: r.Author(), At: r.At(), From: r.From(), To: r.To(), Changes: r.Changes(),
		}
	}
	return documents
}

func decodeRecords(documents []recordDocument) []catalog.Record {
	records := make([]catalog.Record, len(documents))
	for i, r := range documents {
		records[i] = catalog.NewRecord(r.IdempotencyKey, r.Author, r.At, r.From, r.To, r.Changes...)
	}
	return records
}

func decodeService(s serviceDocument) catalog.Service {
	freezes := make([]catalog.Freeze, len(s.Freeze))
	for i, f := range s.Freeze {
		freezes[i] = catalog.NewFreeze(f.From, f.To)
	}
	return catalog.NewService(s.Name,
		catalog.ServedBy(s.Mode, s.Pool),
		catalog.Source(s.Source),
		catalog.Timeout(s.Timeout),
		catalog.MaxQueueWait(s.Wait),
		catalog.RetryShare(s.Retry),
		catalog.Repeatable(s.Repeat...),
		catalog.ExpertMoves(s.Weight, freezes...),
	)
}
