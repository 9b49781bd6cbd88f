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

// Kind classifies what a demo found wrong.
type Kind string

// The kinds of failure.
const (
	KindSetup   Kind = "setup"
	KindCut     Kind = "cut"
	KindCrossed Kind = "crossed"
	KindDoubled Kind = "doubled"
)

// Error is a demo in which something went wrong.
type Error = fault.Error[Kind]

const (
	ranks      = 4
	drafts     = 8
	draftLines = 12
	modelKey   = "amagambo-key"
	orderKey   = "huon-pantry-key"
	setupLimit = 15 * time.Second
)

// demo is one run.
type demo struct {
	out   io.Writer
	fleet *fleet.Fleet
	group *engine.Group
	shop  *shop.Shop
	entry string
}

// Run runs the demo and writes what happened to out; it returns an Error if an answer was cut, crossed or doubled.
func Run(ctx context.Context, out io.Writer) error {
	f, err := fleet.New()
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	d := &demo{out: out, fleet: f, group: engine.NewGroup(ranks), shop: shop.New()}
	err = d.run(ctx)
	return errors.Join(err, f.Close())
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.start, d.publish, d.ask, d.draft, d.order, d.drain}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			d.say("FAILED: %v", err)
			return err
		}
	}
	if mixed := d.group.Mixed(); mixed > 0 {
		return fault.Newf("demo", KindCrossed, "%d steps on two expert maps", mixed)
	}
	d.say("ok: nothing cut, crossed or doubled")
	return nil
}

func (d *demo) say(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// start runs two entries, two endpoints before a rank group's engine, and one before a plain service.
func (d *demo) start(context.Context) error {
	model, err := d.fleet.Serve(engine.New(d.group).Handler())
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	plain, err := d.fleet.Serve(d.shop.Handler())
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	first, err := d.fleet.Entry("entry-1", "kgl-a")
	if err != nil {
		return fault.New("demo", KindSetup, err)
	}
	d.entry = first.Callers
	if _, err = d.fleet.Entry("entry-2", "kgl-b"); err != nil {
		return fault.New("demo", KindSetup, err)
	}
	for _, e := range []struct{ name, pool, engine string }{
		{"draft-1", "kingcup-pool", model},
		{"draft-2", "kingcup-pool", model},
		{"member-1", "member-desk", plain},
	} {
		if _, err := d.fleet.Endpoint(e.name, "kgl-a", e.pool, e.engine); err != nil {
			return fault.New("demo", KindSetup, err)
		}
	}
	d.say("started: platform stand-in, 2 entries, 3 endpoints, a group of %d ranks, a plain service", ranks)
	return nil
}

// publish puts the example files in force.
func (d *demo) publish(ctx context.Context) error {
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
	result, err := d.change(ctx, change)
	if err != nil {
		return err
	}
	d.say("published: version %d with %d services and %d accounts", result.Catalog.Version(), len(bundle.Services), len(bundle.Accounts))
	return d.settle(ctx)
}

func (d *demo) change(ctx context.Context, change publisher.Change) (publisher.Result, error) {
	result, err := publisher.New(storer.New(d.fleet.Platform()), translator.CatalogCodec{}).Publish(ctx, change)
	if err != nil {
		return result, fault.New("demo", KindSetup, err)
	}
	return result, nil
}

// settle waits until the entry knows the configuration and endpoints for both services.
func (d *demo) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupLimit)
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

// ask asks which entries to use.
func (d *demo) ask(ctx context.Context) error {
	addresses, err := caller.New(modelKey).Entries(ctx, d.entry)
	if err != nil || len(addresses) == 0 {
		return fault.New("demo", KindSetup, err)
	}
	d.say("entries to use: %s", strings.Join(addresses, ", "))
	return nil
}

// draft streams several drafts at once and checks each line.
func (d *demo) draft(ctx context.Context) error {
	var group sync.WaitGroup
	results := make([]error, drafts)
	for i := range drafts {
		group.Go(func() { results[i] = d.oneDraft(ctx, fmt.Sprintf("slip-%d", i), draftLines) })
	}
	group.Wait()
	if err := errors.Join(results...); err != nil {
		return err
	}
	d.say("drafts: %d at once, each streamed back whole in %d lines", drafts, draftLines)
	return nil
}

func (d *demo) oneDraft(ctx context.Context, slip string, lines int) error {
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
		return fault.New("draft", KindCut, err)
	case crossed:
		return fault.Newf("draft", KindCrossed, "%s got a line that is not its next", slip)
	case !ended || seen != lines:
		return fault.Newf("draft", KindCut, "%s got %d of %d lines", slip, seen, lines)
	}
	return nil
}

// order places one print order twice with one key, to two entries.
func (d *demo) order(ctx context.Context) error {
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
			return fault.New("order", KindCut, err)
		}
		answers = append(answers, string(answer))
	}
	if runs := d.shop.Runs("order-1"); runs != 1 || answers[0] != answers[1] {
		return fault.Newf("order", KindDoubled, "ran %d times, answers %q", runs, answers)
	}
	d.say("order: sent twice with one Idempotency-Key, ran once, both got the same answer")
	return nil
}

// drain drains an endpoint while a draft streams from each.
func (d *demo) drain(ctx context.Context) error {
	var group sync.WaitGroup
	results := make([]error, drafts, drafts+1)
	for i := range drafts {
		group.Go(func() { results[i] = d.oneDraft(ctx, fmt.Sprintf("long-slip-%d", i), 5*draftLines) })
	}
	_, err := d.change(ctx, publisher.Change{Author: "demo", Base: 1, Drain: []string{"draft-1"}})
	if err == nil {
		err = d.fleet.Stop("draft-1")
	}
	group.Wait()
	if err := errors.Join(append(results, err)...); err != nil {
		return fault.New("drain", KindCut, err)
	}
	if err := d.oneDraft(ctx, "after-drain", draftLines); err != nil {
		return err
	}
	d.say("drain: draft-1 left while %d drafts streamed; none was cut and the next one ran elsewhere", drafts)
	return nil
}
