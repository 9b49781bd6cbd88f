package publisher_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
)

func change(author string, base uint64, service string) publisher.Change {
	return publisher.Change{Author: author, Base: base, Services: []catalog.Service{catalog.NewService(service)}}
}

func TestPublishRacing(t *testing.T) {
	p := publisher.New(platform.New(), translator.CatalogCodec{})
	if _, err := p.Publish(t.Context(), change("aline", 0, "desk")); err != nil {
		t.Fatal(err)
	}
	result, err := p.Publish(t.Context(), change("bosco", 0, "pool"))
	if got := fault.KindOf[publisher.Kind](err); got != publisher.KindRefused {
		t.Fatalf("got %v", err)
	}
	if len(result.Others) != 1 || result.Others[0].Author() != "aline" {
		t.Errorf("the other operator's record is not in the result: %v", result.Others)
	}
	if diff := cmp.Diff([]string{"service desk added"}, result.Others[0].Changes()); diff != "" {
		t.Error(diff)
	}
}

func TestPublishAnswerLost(t *testing.T) {
	lost := fault.New("put", kingcupstile.KindUncertain, nil)
	for name, test := range map[string]struct {
		before, after error
		want          publisher.Status
		kind          publisher.Kind
	}{
		"after the write":  {nil, lost, publisher.StatusSettled, ""},
		"before the write": {lost, nil, "", publisher.KindUnsettled},
	} {
		t.Run(name, func(t *testing.T) {
			store := platform.New(platform.Faults(func(call platform.Call, name string) (error, error) {
				if call == platform.CallPut && name == publisher.Head {
					return test.before, test.after
				}
				return nil, nil
			}))
			p := publisher.New(store, translator.CatalogCodec{})
			result, err := p.Publish(t.Context(), change("aline", 0, "desk"))
			if result.Status != test.want || fault.KindOf[publisher.Kind](err) != test.kind {
				t.Errorf("got %q, %v", result.Status, err)
			}
		})
	}
}

func TestPublishPartLost(t *testing.T) {
	lost := fault.New("put", kingcupstile.KindUncertain, nil)
	for name, test := range map[string]struct {
		before, after error
		kind          publisher.Kind
		version       uint64
	}{
		"after the write":  {nil, lost, "", 1},
		"before the write": {lost, nil, publisher.KindPlatform, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store := platform.New(platform.Faults(func(call platform.Call, name string) (error, error) {
				if call == platform.CallPut && name != publisher.Head {
					return test.before, test.after
				}
				return nil, nil
			}))
			p := publisher.New(store, translator.CatalogCodec{})
			if _, err := p.Publish(t.Context(), change("aline", 0, "desk")); fault.KindOf[publisher.Kind](err) != test.kind {
				t.Errorf("got %v", err)
			}
			if c, err := p.Read(t.Context()); err != nil || c.Version() != test.version {
				t.Errorf("version %d is in force, %v", c.Version(), err)
			}
		})
	}
}

// TestPublishSettledLate checks that a publish whose answer and read-back both failed is recognised as having taken
// effect when it is retried with the same idempotency key, even after its audit record has moved to the archive.
func TestPublishSettledLate(t *testing.T) {
	broken := false
	store := platform.New(platform.Faults(func(call platform.Call, name string) (before, after error) {
		switch {
		case broken && call == platform.CallGet && name == publisher.Head:
			return fault.New("get", kingcupstile.KindUnavailable, nil), nil
		case call == platform.CallPut && name == publisher.Head && broken:
			return nil, fault.New("put", kingcupstile.KindUncertain, nil)
		}
		return nil, nil
	}))
	broken = true
	p := publisher.New(readableUntilWrite{store, &broken}, translator.CatalogCodec{})
	result, err := p.Publish(t.Context(), change("aline", 0, "desk"))
	if fault.KindOf[publisher.Kind](err) != publisher.KindUnsettled || result.IdempotencyKey == "" {
		t.Fatalf("got %v", err)
	}
	broken = false
	const others = 3 * catalog.MaxRecords
	for i := range uint64(others) {
		if _, err := p.Publish(t.Context(), change("bosco", i+1, fmt.Sprintf("pool-%d", i))); err != nil {
			t.Fatal(err)
		}
	}
	again := change("aline", 0, "desk")
	again.IdempotencyKey = result.IdempotencyKey
	if result, err = p.Publish(t.Context(), again); err != nil || result.Status != publisher.StatusSettled {
		t.Errorf("got %q, %v", result.Status, err)
	}
	current, err := p.Read(t.Context())
	if err != nil || len(current.Records()) > catalog.MaxRecords {
		t.Errorf("the head holds %d records, %v", len(current.Records()), err)
	}
	records, err := p.Records(t.Context(), current, 0)
	if err != nil || len(records) != others+1 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	for i, r := range records {
		if r.To() != uint64(i+1) || r.From() != uint64(i) {
			t.Errorf("record %d is from %d to %d", i, r.From(), r.To())
		}
	}
}

// readableUntilWrite answers reads of the store before the first write, so that only the read-back fails.
type readableUntilWrite struct {
	*platform.Store
	broken *bool
}

func (s readableUntilWrite) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	if *s.broken && s.Counts()[platform.CallPut] == 0 {
		return object.Object{}, fault.New("get", kingcupstile.KindMissing, nil)
	}
	return s.Store.Get(ctx, kind, name)
}

// TestSizes checks that the head and each part fit into an object of the platform with 7,300 accounts that have grants
// in eight services, and that adding one service takes at most two writes, a part and the head.
func TestSizes(t *testing.T) {
	const accounts, services = 7300, 8
	store := platform.New()
	p := publisher.New(store, translator.CatalogCodec{})
	first := publisher.Change{Author: "aline"}
	for i := range accounts {
		sum := sha256.Sum256(fmt.Append(nil, i))
		account := catalog.NewAccount(fmt.Sprintf("account-%d", i), "accounts.jsonc", hex.EncodeToString(sum[:]))
		first.Accounts = append(first.Accounts, account)
	}
	for i := range services {
		grants := make([]catalog.Grant, accounts)
		for j := range accounts {
			grants[j] = catalog.NewGrant(fmt.Sprintf("account-%d", j), j%40, j%3)
		}
		name, pool := fmt.Sprintf("model-%d", i), fmt.Sprintf("pool-%d", i)
		first.Services = append(first.Services,
			catalog.NewService(name, catalog.ServedBy(catalog.ModeModel, pool), catalog.Grants(grants...)))
	}
	if _, err := p.Publish(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	head, err := store.Get(t.Context(), object.KindConfig, publisher.Head)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := translator.CatalogCodec{}.DecodeHead(head.Value())
	if err != nil {
		t.Fatal(err)
	}
	largest, total := 0, 0
	for _, name := range decoded.Parts() {
		part, err := store.Get(t.Context(), object.KindPart, name)
		if err != nil {
			t.Fatal(err)
		}
		largest, total = max(largest, len(part.Value())), total+len(part.Value())
	}
	t.Logf("head %d bytes, %d parts of at most %d bytes, %d bytes in all", len(head.Value()), len(decoded.Parts()), largest, total)
	if len(head.Value()) > object.MaxValueBytes || largest > object.MaxValueBytes {
		t.Error("a value is larger than the platform stores")
	}
	if _, err := p.Publish(t.Context(), change("bosco", 1, "desk")); err != nil {
		t.Fatal(err)
	}
	before := store.Counts()[platform.CallPut]
	if _, err := p.Publish(t.Context(), change("bosco", 2, "shop")); err != nil {
		t.Fatal(err)
	}
	if writes := store.Counts()[platform.CallPut] - before; writes > 2 {
		t.Errorf("one new service took %d writes, a part and the head are 2", writes)
	}
	if head, err = store.Get(t.Context(), object.KindConfig, publisher.Head); err != nil {
		t.Fatal(err)
	}
	t.Logf("head %d bytes once the first record is archived", len(head.Value()))
}
