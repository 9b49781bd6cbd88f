package validator

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcupstile/kingcupstile/state/manifest"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// Effect says what callers notice of a difference between two versions.
type Effect string

// The effects, from the gravest.
const (
	EffectRefused   Effect = "requests refused that were served"
	EffectServed    Effect = "requests served that were refused"
	EffectChanged   Effect = "requests handled otherwise"
	EffectUnnoticed Effect = "not noticed"
)

// Effects returns the effects, from the gravest.
func Effects() []Effect { return []Effect{EffectRefused, EffectServed, EffectChanged, EffectUnnoticed} }

// Difference is a difference between two versions of a configuration.
type Difference struct {
	Effect   Effect
	Severity Severity
	// File and At are the place in the later version, or in the earlier one of what only that has.
	File string
	At   manifest.Position
	Text string
}

// Compare returns the differences between the version in force and the next one, the gravest first, and findings on the versions'
// numbers. Neither version may have mistakes.
func Compare(before, after manifest.Manifest) ([]Difference, []Finding) {
	c := &comparer{before: newIndex(before), after: newIndex(after)}
	c.access = c.compareAccess()
	c.compareRoutes()
	c.compareServices()
	c.compareLimits()
	c.compareAccounts()
	c.compareExtras("the configuration", before.Extras(), after.Extras())
	effects := Effects()
	slices.SortStableFunc(c.differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(slices.Index(effects, a.Effect), slices.Index(effects, b.Effect)), cmp.Compare(a.File, b.File),
			cmp.Compare(a.At.Line, b.At.Line), cmp.Compare(a.At.Column, b.At.Column))
	})
	return c.differences, compareVersions(before, after, len(c.differences) > 0)
}

// compareVersions returns the findings on the version's number. Entries adopt only a version higher than the one they hold.
func compareVersions(before, after manifest.Manifest, differ bool) []Finding {
	f := &collector{m: after}
	switch {
	case after.Version() < before.Version():
		f.add(SeverityError, RuleVersion, after.VersionAt(), "version %d is lower than version %d in force: entries ignore it",
			after.Version(), before.Version())
	case after.Version() == before.Version() && differ:
		f.add(SeverityError, RuleVersion, after.VersionAt(),
			"version %d is in force with another content: running entries keep that one, and only those that start later use this one",
			after.Version())
	}
	return f.findings
}

// index finds routes, services and keys of a manifest as entries do.
type index struct {
	manifest.Manifest
	routes   map[target]*manifest.Route
	services map[string]routing.Service
	owners   map[string]*manifest.Account
}

// serves reports whether some requests on a route, which may be nil, are not refused.
func (x index) serves(r *manifest.Route) bool {
	return isUsable(r) && (!x.needsKey(r) || len(x.owners) > 0)
}

// isUsable reports whether a route, which may be nil, has requests and a service for them.
func isUsable(r *manifest.Route) bool {
	return r != nil && isReachable(targetOf(*r)) && slices.ContainsFunc(r.Route.Shares(), func(s routing.Share) bool {
		return s.Weight > 0 && s.Service != ""
	})
}

func (x index) needsKey(r *manifest.Route) bool { return x.RequiresKeys() && !r.Route.IsPublic() }

func newIndex(m manifest.Manifest) index {
	x := index{
		Manifest: m, routes: make(map[target]*manifest.Route, len(m.Routes())), services: map[string]routing.Service{},
		owners: map[string]*manifest.Account{},
	}
	for i := range m.Routes() {
		r := &m.Routes()[i]
		if _, shadowed := x.routes[targetOf(*r)]; shadowed {
			continue
		}
		x.routes[targetOf(*r)] = r
	}
	for _, s := range m.Services() {
		x.services[s.Service.Name()] = s.Service
	}
	for i := range m.Accounts() {
		a := &m.Accounts()[i]
		for _, k := range a.Keys {
			if _, held := x.owners[k.Text]; !held && k.Text != "" {
				x.owners[k.Text] = a
			}
		}
	}
	return x
}

// find returns the route with the longest prefix of a target, nil if there is none.
func (x index) find(t target) *manifest.Route {
	for end := len(t.prefix); end >= 0; end-- {
		if r, found := x.routes[target{host: t.host, prefix: t.prefix[:end]}]; found {
			return r
		}
	}
	return nil
}

// sharesOf returns the shares of a route's requests, ordered by service, in the smallest whole numbers.
func sharesOf(r *manifest.Route) []routing.Share {
	weights := map[string]int{}
	for _, s := range r.Route.Shares() {
		if s.Weight > 0 && s.Service != "" {
			weights[s.Service] += s.Weight
		}
	}
	divisor := 0
	shares := make([]routing.Share, 0, len(weights))
	for service, weight := range weights {
		shares = append(shares, routing.Share{Service: service, Weight: weight})
		divisor = greatestDivisor(weight, divisor)
	}
	for i := range shares {
		shares[i].Weight /= divisor
	}
	slices.SortFunc(shares, func(a, b routing.Share) int { return cmp.Compare(a.Service, b.Service) })
	return shares
}

// shareText returns the services of a route with their weights.
func shareText(r *manifest.Route) string {
	shares := sharesOf(r)
	texts := make([]string, len(shares))
	for i, s := range shares {
		texts[i] = s.Service
		if len(shares) > 1 {
			texts[i] += ":" + strconv.Itoa(s.Weight)
		}
	}
	return strings.Join(texts, ",")
}

func greatestDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// comparer collects the differences between two versions.
type comparer struct {
	before, after index
	access        access
	differences   []Difference
}

func (c *comparer) add(effect Effect, x index, at manifest.Position, format string, args ...any) {
	severity := SeverityNote
	if effect == EffectRefused {
		severity = SeverityWarning
	}
	c.differences = append(c.differences, Difference{
		Effect: effect, Severity: severity, File: x.File(), At: at, Text: fmt.Sprintf(format, args...),
	})
}

func (c *comparer) compareRoutes() {
	for i := range c.after.Routes() {
		r := &c.after.Routes()[i]
		switch t := targetOf(*r); {
		case c.after.routes[t] != r:
			// It is shadowed, which is a finding of Validate.
		case c.before.routes[t] != nil:
			c.compareRoute(c.before.routes[t], r)
		default:
			c.compareReach(c.after, c.before, r, "added")
		}
	}
	for i := range c.before.Routes() {
		r := &c.before.Routes()[i]
		if t := targetOf(*r); c.before.routes[t] == r && c.after.routes[t] == nil {
			c.compareReach(c.before, c.after, r, "removed")
		}
	}
}

// compareReach adds the difference that a route makes that only the version x has and not the other one.
func (c *comparer) compareReach(x, other index, r *manifest.Route, change string) {
	gained, lost := EffectServed, EffectRefused
	if change == "removed" {
		gained, lost = lost, gained
	}
	name, t := r.Route.Name(), targetOf(*r)
	instead := other.find(t)
	isServed, wasServed := x.serves(r), other.serves(instead)
	switch {
	case !isServed && !wasServed:
		c.add(EffectUnnoticed, x, r.At.Route, "route %q %s, which serves no requests", name, change)
	case !wasServed:
		c.add(gained, x, r.At.Route, "route %q for %s%s %s", name, t.host, t.prefix, change)
	case !isServed:
		c.add(lost, x, r.At.Route, "route %q for %s%s %s, which refuses all requests; without it they go to route %q",
			name, t.host, t.prefix, change, instead.Route.Name())
	default:
		needsKey, neededKey := x.needsKey(r), other.needsKey(instead)
		if needsKey != neededKey {
			effect := gained
			if needsKey {
				effect = lost
			}
			c.add(effect, x, r.At.Route, "route %q for %s%s %s; without it the requests go to route %q; only one of the two needs a key",
				name, t.host, t.prefix, change, instead.Route.Name())
		}
		if len(changesOf(r, instead)) > 0 {
			c.add(EffectChanged, x, r.At.Route, "route %q for %s%s %s; without it the requests go to route %q",
				name, t.host, t.prefix, change, instead.Route.Name())
		} else if needsKey == neededKey {
			c.add(EffectUnnoticed, x, r.At.Route, "route %q %s; route %q does the same", name, change, instead.Route.Name())
		}
	}
}

// change is a difference between two routes in something that changes how requests are handled.
type change struct {
	at            manifest.Position
	before, after any
}

func changesOf(before, after *manifest.Route) []change {
	b, a := before.Route, after.Route
	var changes []change
	add := func(at manifest.Position, x, y any) {
		if !reflect.DeepEqual(x, y) {
			changes = append(changes, change{at: at, before: x, after: y})
		}
	}
	add(after.At.Type, b.Repeat(), a.Repeat())
	add(after.At.Timeout, b.Timeout(), a.Timeout())
	add(after.At.Gap, b.MaxEventGap(), a.MaxEventGap())
	if b.IsStream() && a.IsStream() {
		add(after.At.Goal, b.Patience(), a.Patience())
	}
	add(after.At.Priority, b.Priority(), a.Priority())
	add(after.At.Attempts, b.Attempts(), a.Attempts())
	add(after.At.Resumable, b.IsResumable(), a.IsResumable())
	add(after.At.Services, shareText(before), shareText(after))
	return changes
}

// compareRoute adds the differences between two routes with the same host and prefix.
func (c *comparer) compareRoute(before, after *manifest.Route) {
	name := after.Route.Name()
	wasServed, isServed := c.before.serves(before), c.after.serves(after)
	switch wasUsable, canBeUsed := isUsable(before), isUsable(after); {
	case wasUsable && !canBeUsed:
		c.addIf(wasServed, EffectRefused, c.after, after.At.Services, "route %q has no service any more", name)
		return
	case !wasUsable && canBeUsed:
		c.addIf(isServed, EffectServed, c.after, after.At.Services, "route %q has a service now", name)
		return
	case canBeUsed:
		// That all keys were added or taken away is a difference of the accounts, and not one of each route.
		c.comparePublic(before, after)
	}
	effect := EffectChanged
	if !wasServed || !isServed {
		effect = EffectUnnoticed
	}
	for _, change := range changesOf(before, after) {
		c.add(effect, c.after, change.at, "route %q: %v -> %v", name, change.before, change.after)
	}
	if before.Route.Name() != name {
		c.add(EffectUnnoticed, c.after, after.At.Name, "route %q is now named %q", before.Route.Name(), name)
	}
	if before.Goal != after.Goal && before.Route.Patience() == after.Route.Patience() {
		c.add(EffectUnnoticed, c.after, after.At.Goal, "route %q: %v -> %v; entries do the same for both", name, before.Goal, after.Goal)
	}
	c.compareExtras(fmt.Sprintf("route %q", name), before.Extras, after.Extras)
}

// comparePublic adds whether requests on a route need a key in only one of the versions because of the route itself.
func (c *comparer) comparePublic(before, after *manifest.Route) {
	name, wasPublic, isPublic := after.Route.Name(), before.Route.IsPublic(), after.Route.IsPublic()
	needed := c.before.RequiresKeys() && c.after.RequiresKeys()
	switch {
	case wasPublic == isPublic:
	case needed && isPublic:
		c.add(EffectServed, c.after, after.At.Public, "route %q needs no key any more", name)
	case needed:
		c.add(EffectRefused, c.after, after.At.Public, "route %q needs a key now", name)
	default:
		c.add(EffectUnnoticed, c.after, after.At.Public, "route %q: public %v -> %v", name, wasPublic, isPublic)
	}
}

func (c *comparer) compareServices() {
	extras := map[string][]manifest.Extra{}
	for _, s := range c.before.Services() {
		extras[s.Service.Name()] = s.Extras
	}
	for _, s := range c.after.Services() {
		name := s.Service.Name()
		before, existed := c.before.services[name]
		isKept := c.access.kept[name]
		switch {
		case !existed:
			c.addIf(isKept, EffectChanged, c.after, s.At, "service %q is described now", name)
		case !reflect.DeepEqual(before, c.after.services[name]):
			c.addIf(isKept, EffectChanged, c.after, s.At, "service %q: connections, engine, health checks or what cold runners bear differ", name)
		}
		if existed {
			c.compareExtras(fmt.Sprintf("service %q", name), extras[name], s.Extras)
		}
	}
	for _, s := range c.before.Services() {
		name := s.Service.Name()
		if _, exists := c.after.services[name]; exists {
			continue
		}
		c.addIf(c.access.kept[name], EffectChanged, c.before, s.At, "service %q is not described any more", name)
	}
}

func (c *comparer) compareLimits() {
	before, after := c.before.Limits(), c.after.Limits()
	was, is := bodyLimit(before.Limits), bodyLimit(after.Limits)
	switch {
	case is < was:
		c.add(EffectRefused, c.after, after.Body, "bodies over %d bytes are refused; the limit was %d", is, was)
	case is > was:
		c.add(EffectServed, c.after, after.Body, "bodies of up to %d bytes are allowed; the limit was %d", is, was)
	}
	unnoticed := func(at manifest.Position, before, after any) {
		if before != after {
			c.add(EffectUnnoticed, c.after, at, "%v -> %v; entries have a limit of their own", before, after)
		}
	}
	unnoticed(after.Header, before.Limits.MaxHeaderBytes, after.Limits.MaxHeaderBytes)
	unnoticed(after.HeaderTimeout, before.Limits.HeaderTimeout, after.Limits.HeaderTimeout)
	unnoticed(after.IdleTimeout, before.Limits.IdleTimeout, after.Limits.IdleTimeout)
	c.compareExtras("the limits", before.Extras, after.Extras)
}

// bodyLimit returns the largest body in bytes that entries take.
func bodyLimit(l routing.Limits) int64 {
	if l.MaxBodyBytes <= 0 {
		return routing.DefaultMaxBodyBytes
	}
	return l.MaxBodyBytes
}

// compareExtras adds the members that entries do not read and that differ.
func (c *comparer) compareExtras(what string, before, after []manifest.Extra) {
	if slices.EqualFunc(before, after, func(a, b manifest.Extra) bool { return a.At.Key == b.At.Key && a.Value == b.Value }) {
		return
	}
	values := func(extras []manifest.Extra) map[string]manifest.Extra {
		m := make(map[string]manifest.Extra, len(extras))
		for _, e := range extras {
			e.Value = m[e.At.Key].Value + e.Value + "\n"
			m[e.At.Key] = e
		}
		return m
	}
	was, is := values(before), values(after)
	for _, key := range slices.Sorted(maps.Keys(is)) {
		if was[key].Value != is[key].Value {
			c.add(EffectUnnoticed, c.after, is[key].At, "%s: entries do not read this member, which differs", what)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(was)) {
		if _, kept := is[key]; !kept {
			c.add(EffectUnnoticed, c.before, was[key].At, "%s: entries do not read this member, which is gone", what)
		}
	}
}
