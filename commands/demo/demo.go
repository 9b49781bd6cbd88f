package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/examples"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
	"github.com/kingcupstile/kingcupstile/standin/fleet"
	"github.com/kingcupstile/kingcupstile/standin/shop"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// Kind classifies why a demo failed.
type Kind string

// The kinds of failure.
const (
	KindSetup Kind = "setup"
	// KindIncomplete is the kind of an answer that ended early.
	KindIncomplete Kind = "cut"
	// KindMismatch is the kind of a line that belongs to another answer or position, or of a step on two expert maps.
	KindMismatch Kind = "crossed"
	// KindDuplicate is the kind of a request with one idempotency key that ran more than once or got different answers.
	KindDuplicate Kind = "doubled"
)

// Error reports a demo that failed.
type Error = fault.Error[Kind]

const (
	rankCount    = 4
	draftCount   = 8
	draftLines   = 12
	modelKey     = "amagambo-key"
	orderKey     = "huon-pantry-key"
	setupTimeout = 15 * time.Second
)

// demo holds the processes and stand-ins of one run.
type demo struct {
	out   io.Writer
	fleet *fleet.Fleet
	group *engine.Group
	shop  *shop.Shop
	entry string
}

// Run runs the demo and prints the result of each step to out. It returns an Error if a step fails, an answer is
// truncated, mixed up with another or computed twice, or ranks made a step on different expert maps.
func Run(ctx context.Context, out io.Writer) error {
	f, err := fleet.New()
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	d := &demo{out: out, fleet: f, group: engine.NewGroup(rankCount), shop: shop.New()}
	err = d.run(ctx)
	return errors.Join(err, f.Close())
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.startFleet, d.publishExamples, d.lookUpEntries, d.streamDrafts, d.placeOrderTwice, d.drainEndpoint,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			d.printf("FAILED: %v", err)
			return err
		}
	}
	if mixed := d.group.MixedMapSteps(); mixed > 0 {
		return fault.Newf("demo", KindMismatch, "%d steps on two expert maps", mixed)
	}
	d.printf("ok: nothing cut, crossed or doubled")
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// startFleet starts two entries, two endpoints in front of a rank group's engine, and one in front of a plain service.
func (d *demo) startFleet(context.Context) error {
	model, err := d.fleet.Serve(engine.New(d.group).Handler())
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	plain, err := d.fleet.Serve(d.shop.Handler())
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	first, err := d.fleet.StartEntry("entry-1", "kgl-a")
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	d.entry = first.Callers
	if _, err = d.fleet.StartEntry("entry-2", "kgl-b"); err != nil {
		return fault.New("demo", KindSetup, err)
	}
	for _, e := range []struct{ name, pool, engine string }{
		{"draft-1", "kingcup-pool", model},
		{"draft-2", "kingcup-pool", model},
		{"member-1", "member-desk", plain},
	} {
		if _, err := d.fleet.StartEndpoint(e.name, "kgl-a", e.pool, e.engine); err != nil {
			return fault.New("demo", KindSetup, err)
		}
	}
	d.printf("started: platform stand-in, 2 entries, 3 endpoints, a group of %d ranks, a plain service", rankCount)
	return nil
}

// publishExamples publishes the example service and account files, and waits until they can be used.
func (d *demo) publishExamples(ctx context.Context) error {
	var bundle parser.Bundle
	err := fs.WalkDir(examples.Files, ".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := fs.ReadFile(examples.Files, file)
		if err != nil {
			return err
		}
		bundle, err = parser.Parse(bundle, file, text)
		return err
	})
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	change := publisher.Change{Author: "demo", Services: bundle.Services, Accounts: bundle.Accounts}
	result, err := d.publishChange(ctx, change)
	if err != nil {
		return err
	}
	d.printf("published: version %d with %d services and %d accounts", result.Catalog.Version(), len(bundle.Services), len(bundle.Accounts))
	return d.waitForEndpoints(ctx)
}

func (d *demo) publishChange(ctx context.Context, change publisher.Change) (publisher.Result, error) {
	result, err := publisher.New(storer.New(d.fleet.PlatformAddress()), translator.CatalogCodec{}).Publish(ctx, change)
	if err != nil {
		return result, fault.New("demo", KindSetup, err)
	}
	return result, nil
}

// waitForEndpoints waits until the entry issues tickets for both services, for which it needs the configuration and an
// endpoint of each.
func (d *demo) waitForEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, service := range []struct{ key, name string }{{modelKey, "kingcup-pool"}, {orderKey, "member-desk"}} {
		for {
			_, err := caller.New(service.key).Ticket(ctx, d.entry, service.name)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fault.New("demo", KindSetup, err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// lookUpEntries asks an entry for the list of entries that callers may use.
func (d *demo) lookUpEntries(ctx context.Context) error {
	addresses, err := caller.New(modelKey).Entries(ctx, d.entry)
	if err != nil || len(addresses) == 0 {
		return fault.New("demo", KindSetup, err)
	}
	d.printf("entries to use: %s", strings.Join(addresses, ", "))
	return nil
}

// streamDrafts streams several drafts at once and checks every line of each.
func (d *demo) streamDrafts(ctx context.Context) error {
	var group sync.WaitGroup
	results := make([]error, draftCount)
	for i := range draftCount {
		group.Go(func() { results[i] = d.streamDraft(ctx, fmt.Sprintf("slip-%d", i), draftLines) })
	}
	group.Wait()
	if err := errors.Join(results...); err != nil {
		return err
	}
	d.printf("drafts: %d at once, each streamed back whole in %d lines", draftCount, draftLines)
	return nil
}

func (d *demo) streamDraft(ctx context.Context, slip string, lines int) error {
	body, err := json.Marshal(engine.Draft{Slip: slip, Lines: lines})
	if err != nil {
		return fault.New("draft", KindSetup, err)
	}
	seen, ended, crossed := 0, false, false
	err = caller.New(modelKey).Stream(ctx, "http://"+d.entry+"/kingcup-pool/v1/drafts", nil, body, func(e caller.Event) bool {
		if e.Data == engine.End {
			ended = true
			return true
		}
		var line engine.Line
		crossed = crossed || json.Unmarshal([]byte(e.Data), &line) != nil || line.Slip != slip || line.Line != seen+1
		seen++
		return true
	})
	switch {
	case err != nil:
		return fault.New("draft", KindIncomplete, err)
	case crossed:
		return fault.Newf("draft", KindMismatch, "%s got a line that is not its next", slip)
	case !ended || seen != lines:
		return fault.Newf("draft", KindIncomplete, "%s got %d of %d lines", slip, seen, lines)
	}
	return nil
}

// placeOrderTwice sends one print order twice with one idempotency key, to different entries if there are several, and
// checks that it ran once.
func (d *demo) placeOrderTwice(ctx context.Context) error {
	c := caller.New(orderKey)
	addresses, err := c.Entries(ctx, d.entry)
	if err != nil {
		return fault.New("order", KindSetup, err)
	}
	body, err := json.Marshal(shop.Order{Reference: "order-1", Sheet: "pantry-shelf"})
	if err != nil {
		return fault.New("order", KindSetup, err)
	}
	header := http.Header{"Idempotency-Key": {"order-1-of-huon-pantry"}}
	var answers []string
	for i := range 2 {
		answer, _, err := c.Call(ctx, http.MethodPost, "http://"+addresses[i%len(addresses)]+"/member-desk/orders", header, body)
		if err != nil {
			return fault.New("order", KindIncomplete, err)
		}
		answers = append(answers, string(answer))
	}
	if runs := d.shop.Runs("order-1"); runs != 1 || answers[0] != answers[1] {
		return fault.Newf("order", KindDuplicate, "ran %d times, answers %q", runs, answers)
	}
	d.printf("order: sent twice with one Idempotency-Key, ran once, both got the same answer")
	return nil
}

// drainEndpoint drains and stops an endpoint while drafts stream, and checks that none of them is truncated.
func (d *demo) drainEndpoint(ctx context.Context) error {
	var group sync.WaitGroup
	results := make([]error, draftCount, draftCount+1)
	for i := range draftCount {
		group.Go(func() { results[i] = d.streamDraft(ctx, fmt.Sprintf("long-slip-%d", i), 5*draftLines) })
	}
	_, err := d.publishChange(ctx, publisher.Change{Author: "demo", Base: 1, Drain: []string{"draft-1"}})
	if err == nil {
		err = d.fleet.Stop("draft-1")
	}
	group.Wait()
	if err := errors.Join(append(results, err)...); err != nil {
		return fault.New("drain", KindIncomplete, err)
	}
	if err := d.streamDraft(ctx, "after-drain", draftLines); err != nil {
		return err
	}
	d.printf("drain: draft-1 left while %d drafts streamed; none was cut and the next one ran elsewhere", draftCount)
	return nil
}
