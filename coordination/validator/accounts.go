package validator

import (
	"fmt"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/manifest"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// access says which requests need a key in the two versions; each field reports whether there are such requests.
type access struct {
	// closed need a key in both versions, opened only in the earlier one, and shut only in the later one; both versions serve them.
	closed, opened, shut bool
	// kept holds the services that both versions send the same requests to.
	kept map[string]bool
}

func (c *comparer) compareAccess() access {
	found := access{kept: map[string]bool{}}
	for i, x := range []index{c.before, c.after} {
		for t := range x.routes {
			if i > 0 && c.before.routes[t] != nil {
				continue
			}
			b, a := c.before.find(t), c.after.find(t)
			if !isUsable(b) || !isUsable(a) {
				continue
			}
			switch neededKey, needsKey := c.before.needsKey(b), c.after.needsKey(a); {
			case neededKey && needsKey:
				found.closed = true
			case neededKey:
				found.opened = true
			case needsKey:
				found.shut = true
			}
			if c.before.serves(b) && c.after.serves(a) {
				found.keepServices(b, a)
			}
		}
	}
	return found
}

// keepServices records the services that two routes have in common.
func (a *access) keepServices(before, after *manifest.Route) {
	for _, is := range after.Route.Shares() {
		if is.Weight > 0 && slices.ContainsFunc(before.Route.Shares(), func(was routing.Share) bool {
			return was.Service == is.Service && was.Weight > 0
		}) {
			a.kept[is.Service] = true
		}
	}
}

// compareAccounts adds what changes for the holders of keys. Keys are counted and not shown, as they are secrets.
func (c *comparer) compareAccounts() {
	switch was, is := c.before.RequiresKeys(), c.after.RequiresKeys(); {
	case !was && is:
		c.addIf(c.access.shut, EffectRefused, c.after, c.after.AccountsAt(), "requests need a key now, except on public routes; before, none did")
	case was && !is:
		c.addIf(c.access.opened, EffectServed, c.before, c.before.AccountsAt(), "requests need no key any more, on any route")
		if c.access.opened {
			// Open access to all callers is seldom what a change of the list is meant for.
			c.differences[len(c.differences)-1].Severity = SeverityWarning
		}
	case was && is:
		c.compareKeys()
	}
}

// addIf adds a difference that is not noticed unless the condition holds.
func (c *comparer) addIf(condition bool, effect Effect, x index, at manifest.Position, format string, args ...any) {
	if !condition {
		effect = EffectUnnoticed
	}
	c.add(effect, x, at, format, args...)
}

func (c *comparer) compareKeys() {
	was, is := accountsByName(c.before.Accounts()), accountsByName(c.after.Accounts())
	for i := range c.before.Accounts() {
		a := &c.before.Accounts()[i]
		c.compareAccount(a, is[a.Account.Name()])
	}
	for i := range c.after.Accounts() {
		a := &c.after.Accounts()[i]
		c.compareNewKeys(was[a.Account.Name()], a)
	}
}

func accountsByName(list []manifest.Account) map[string]*manifest.Account {
	m := make(map[string]*manifest.Account, len(list))
	for i := range list {
		m[list[i].Account.Name()] = &list[i]
	}
	return m
}

// compareAccount adds what became of an account's keys; later is the account of the same name, nil if there is none.
func (c *comparer) compareAccount(a, later *manifest.Account) {
	name, at, x := a.Account.Name(), a.KeysAt, c.before
	if later != nil {
		at, x = later.KeysAt, c.after
	}
	gone, moved, level := c.countChanges(a)
	if gone > 0 {
		c.addIf(c.access.closed, EffectRefused, x, at, "account %q: %d of %d keys are not accepted any more", name, gone, len(a.Keys))
	}
	if moved > 0 {
		c.addIf(c.access.closed, EffectChanged, x, at, "account %q: %d of %d keys now belong to another account", name, moved, len(a.Keys))
	}
	if later != nil && level {
		c.addIf(c.access.closed, EffectChanged, x, later.LevelAt, "account %q: priority %s -> %s", name, priorityText(a), priorityText(later))
	}
	if later == nil && gone == 0 && moved == 0 {
		c.add(EffectUnnoticed, x, at, "account %q removed, whose keys were not used", name)
	}
}

// compareNewKeys adds which keys of an account are accepted now; before is the account of the same name, nil if there is none.
func (c *comparer) compareNewKeys(before, a *manifest.Account) {
	name, added := a.Account.Name(), 0
	for _, k := range a.Keys {
		if c.after.owners[k.Text] == a && c.before.owners[k.Text] == nil {
			added++
		}
	}
	switch {
	case added > 0:
		c.addIf(c.access.closed, EffectServed, c.after, a.KeysAt, "account %q: %d of %d keys are accepted that were not",
			name, added, len(a.Keys))
	case before == nil && len(a.Keys) == 0:
		c.add(EffectUnnoticed, c.after, a.At, "account %q added, which has no keys", name)
	}
	if before != nil {
		c.compareExtras(fmt.Sprintf("account %q", name), before.Extras, a.Extras)
	}
}

// countChanges returns how many keys of an account are gone or belong to another account in the later version, and whether requests
// with one of those that stay get another priority.
func (c *comparer) countChanges(a *manifest.Account) (gone, moved int, level bool) {
	for _, k := range a.Keys {
		if c.before.owners[k.Text] != a {
			continue
		}
		switch later := c.after.owners[k.Text]; {
		case later == nil:
			gone++
		case later.Account.Name() != a.Account.Name():
			moved++
		default:
			level = level || later.Account != a.Account
		}
	}
	return gone, moved, level
}

func priorityText(a *manifest.Account) string {
	if a.Priority == nil {
		return "of the route"
	}
	return fmt.Sprint(*a.Priority)
}
