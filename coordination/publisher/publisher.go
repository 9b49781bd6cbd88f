package publisher

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/assembler"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
)

// Head is the name of the platform object that holds the head of the configuration in force.
const Head = "head"

// Kind classifies why a publish did not succeed.
type Kind string

// The kinds of failure: the change is based on a version that is not in force, it is unknown whether the change took
// effect, the platform could not be read or written, and a value is larger than the platform stores.
const (
	KindRefused   Kind = "refused"
	KindUnsettled Kind = "unsettled"
	KindPlatform  Kind = "platform"
	KindTooLarge  Kind = "too-large"
)

// Error is a publish that did not succeed, or whose outcome is unknown.
type Error = fault.Error[Kind]

// Status is the outcome of a publish.
type Status string

// The outcomes of a publish: the change is in force, it makes no difference to the configuration, an earlier or
// uncertain write of it turned out to have taken effect, or it was refused because its base is not in force.
const (
	StatusAccepted  Status = "accepted"
	StatusUnchanged Status = "unchanged"
	StatusSettled   Status = "settled"
	StatusRefused   Status = "refused"
)

// Change is a change to the configuration that an operator wants to publish.
type Change struct {
	Author string
	// IdempotencyKey is the key of an earlier publish that ended with KindUnsettled, empty for a new one.
	IdempotencyKey string
	// Base is the version that the change is based on.
	Base     uint64
	Services []catalog.Service
	Accounts []catalog.Account
	// Drain names VMs that are to get no new work, Undrain those that are to get it again.
	Drain   []string
	Undrain []string
}

// Result is the outcome of a publish and the configuration after it.
type Result struct {
	Status Status
	// IdempotencyKey is the key with which to retry a publish that ended with KindUnsettled.
	IdempotencyKey string
	Catalog        catalog.Catalog
	// Changes describes what the publish changed, a line each.
	Changes []string
	// Others are the audit records of the versions that others published since the base, if the change was refused.
	Others []catalog.Record
}

// Publisher publishes changes to the configuration in the platform's store.
type Publisher struct {
	store kingcupstile.Store
	codec kingcupstile.CatalogCodec
	now   func() time.Time
	id    func() string
}

// Option sets a field of a Publisher under construction.
type Option func(*Publisher)

// Now sets the clock from which audit records take their times.
func Now(now func() time.Time) Option { return func(p *Publisher) { p.now = now } }

// ID sets the source of idempotency keys, by which a publish recognises its own audit record.
func ID(id func() string) Option { return func(p *Publisher) { p.id = id } }

// New returns a publisher that keeps the configuration in store, encoded by codec.
func New(store kingcupstile.Store, codec kingcupstile.CatalogCodec, options ...Option) *Publisher {
	p := &Publisher{store: store, codec: codec, now: time.Now, id: rand.Text}
	for _, option := range options {
		option(p)
	}
	return p
}

// Read returns the configuration in force, empty at version 0 if none has been published, or an Error of KindPlatform.
func (p *Publisher) Read(ctx context.Context) (catalog.Catalog, error) {
	b, err := p.read(ctx, assembler.Assembly{})
	return b.Catalog(), err
}

// storedConfiguration is the configuration in force with the version of the platform object that holds its head.
type storedConfiguration struct {
	assembler.Assembly
	objectVersion uint64
}

// read returns the configuration in force; it does not read parts that known has.
func (p *Publisher) read(ctx context.Context, known assembler.Assembly) (storedConfiguration, error) {
	o, err := p.store.Get(ctx, object.KindConfig, Head)
	if fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing {
		return storedConfiguration{Assembly: assembler.New()}, nil
	}
	if err != nil {
		return storedConfiguration{}, fault.New("read configuration", KindPlatform, err)
	}
	a, err := assembler.Join(ctx, p.codec, o.Value(), known, PartFetcher(p.store))
	if err != nil {
		return storedConfiguration{}, fault.New("read configuration", KindPlatform, err)
	}
	return storedConfiguration{Assembly: a, objectVersion: o.Version()}, nil
}

// Publish makes the change if its base is still in force; a change that already took effect under its idempotency key
// is not made again. It returns an Error of KindRefused with a Result that has the others' audit records, of
// KindUnsettled if it could not learn whether the change took effect, of KindPlatform or of KindTooLarge.
func (p *Publisher) Publish(ctx context.Context, change Change) (Result, error) {
	if change.IdempotencyKey == "" {
		change.IdempotencyKey = p.id()
	}
	current, err := p.read(ctx, assembler.Assembly{})
	if err != nil {
		return Result{}, err
	}
	if current.Version() != change.Base {
		return p.reconcile(ctx, current.Catalog(), change)
	}
	next := apply(current.Catalog(), change)
	changes := catalog.Diff(current.Catalog(), next)
	if len(changes) == 0 {
		return Result{Status: StatusUnchanged, Catalog: current.Catalog()}, nil
	}
	record := catalog.NewRecord(change.IdempotencyKey, change.Author, p.now(), change.Base, change.Base+1, changes...)
	next, err = p.archiveSurplus(ctx, next.WithRecord(record).WithVersion(change.Base+1))
	if err != nil {
		return Result{}, err
	}
	split, err := assembler.Split(p.codec, next)
	if err != nil {
		return Result{}, fault.New("publish", KindPlatform, err)
	}
	for _, value := range split.PartsNotIn(current.Assembly) {
		if err := p.writePart(ctx, value); err != nil {
			return Result{}, err
		}
	}
	return p.writeHead(ctx, split, current, change, changes)
}

// writeHead puts next in force by writing its head, provided that the stored head is still that of current.
func (p *Publisher) writeHead(ctx context.Context, next assembler.Assembly, current storedConfiguration,
	change Change, changes []string) (Result, error) {
	if err := checkSize(next.Head()); err != nil {
		return Result{}, err
	}
	o := object.New(object.KindConfig, Head, object.Version(current.objectVersion), object.Value(next.Head()))
	_, err := p.store.Put(ctx, o)
	switch fault.KindOf[kingcupstile.Kind](err) {
	case "":
		return Result{Status: StatusAccepted, Catalog: next.Catalog(), Changes: changes}, err
	case kingcupstile.KindConflict, kingcupstile.KindUncertain:
		return p.readBack(ctx, err, next, change)
	}
	return Result{}, fault.New("publish", KindPlatform, err)
}

// readBack reads the configuration again after a write with a conflict or an uncertain outcome, to learn whether the
// change took effect.
func (p *Publisher) readBack(ctx context.Context, cause error, next assembler.Assembly, change Change) (Result, error) {
	current, err := p.read(ctx, next)
	if err != nil {
		return Result{IdempotencyKey: change.IdempotencyKey}, fault.New("publish", KindUnsettled, cause)
	}
	if current.Version() <= change.Base {
		return Result{IdempotencyKey: change.IdempotencyKey}, fault.New("publish", KindUnsettled, cause)
	}
	return p.reconcile(ctx, current.Catalog(), change)
}

// reconcile looks for the change's idempotency key in the audit records since its base: the change has taken effect if
// it is there, and is refused otherwise.
func (p *Publisher) reconcile(ctx context.Context, current catalog.Catalog, change Change) (Result, error) {
	records, err := p.Records(ctx, current, change.Base)
	if err != nil {
		return Result{IdempotencyKey: change.IdempotencyKey}, fault.New("publish", KindUnsettled, err)
	}
	for _, r := range records {
		if r.IdempotencyKey() == change.IdempotencyKey {
			return Result{Status: StatusSettled, Catalog: current, Changes: r.Changes()}, nil
		}
	}
	refusal := fault.Newf("publish", KindRefused, "based on version %d, but version %d is in force", change.Base, current.Version())
	return Result{Status: StatusRefused, Catalog: current, Others: records}, refusal
}

func apply(c catalog.Catalog, change Change) catalog.Catalog {
	c = c.WithServices(change.Services...).WithAccounts(change.Accounts...)
	for _, vm := range change.Drain {
		c = c.WithDrained(vm, true)
	}
	for _, vm := range change.Undrain {
		c = c.WithDrained(vm, false)
	}
	return c
}
