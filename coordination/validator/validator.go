package validator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/kingcupstile/kingcupstile/state/manifest"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// Severity says what a finding means for whoever sends the configuration.
type Severity string

// The severities.
const (
	// SeverityError is a configuration that entries refuse, a value outside the format, or a part that cannot work.
	SeverityError Severity = "error"
	// SeverityWarning is a part without effect, or with another effect than its author may expect.
	SeverityWarning Severity = "warning"
	// SeverityNote is a fact that needs no action in a sound configuration.
	SeverityNote Severity = "note"
)

// Rule identifies what a finding is about.
type Rule string

// The rules.
const (
	RuleInvalid          Rule = "invalid"
	RuleTooLarge         Rule = "too-large"
	RuleShadowedRoute    Rule = "shadowed-route"
	RuleHost             Rule = "host"
	RulePrefix           Rule = "prefix"
	RuleUnknownService   Rule = "unknown-service"
	RuleNoService        Rule = "no-service"
	RuleUnusedService    Rule = "unused-service"
	RuleDuplicateService Rule = "duplicate-service"
	RuleTimeout          Rule = "timeout"
	RuleHeaderLimit      Rule = "header-limit"
	RuleBodyLimit        Rule = "body-limit"
	RuleAttempts         Rule = "attempts"
	RulePriority         Rule = "priority"
	RuleNoAccounts       Rule = "no-accounts"
	RuleNoKeys           Rule = "no-keys"
	RuleSharedKey        Rule = "shared-key"
	RuleVersion          Rule = "version"
	RuleNothingInForce   Rule = "nothing-in-force"
)

const (
	// maxPriority is the least urgent priority of the format; 0 is the most urgent.
	maxPriority = 9
	// maxHeaderBytes is the size of a header above which entries refuse a request whatever the configuration allows.
	maxHeaderBytes = 128 << 10
)

// Finding is something that an operator should know before a configuration is sent.
type Finding struct {
	Severity Severity
	Rule     Rule
	File     string
	At       manifest.Position
	Text     string
}

// Validator holds what is known of the entries that will read a configuration.
type Validator struct {
	memory int64
}

// New returns a validator that knows nothing of the entries.
func New() Validator { return Validator{} }

// WithMemory returns the validator for entries with a memory of this many bytes, 0 if that is not known.
func (v Validator) WithMemory(bytes int64) Validator {
	v.memory = bytes
	return v
}

// Validate returns the findings on a configuration by itself, in the order of the file. While a mistake hides values, only mistakes are
// found.
func (v Validator) Validate(m manifest.Manifest) []Finding {
	c := &collector{m: m}
	for _, mistake := range m.Mistakes() {
		c.add(SeverityError, RuleInvalid, mistake.At, "%s", mistake.Text)
	}
	if m.Size() > m.MaxSize() {
		c.add(SeverityError, RuleTooLarge, manifest.Position{Line: 1, Column: 1},
			"the configuration has %d bytes without spaces; entries read no answer of the store over %d bytes and would keep the version before",
			m.Size(), m.MaxSize())
	}
	if m.IsComplete() {
		// Otherwise a value that is not known could be taken for one that is missing.
		c.checkRoutes()
		c.checkServices()
		c.checkLimits(v.memory)
		c.checkAccounts()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.At.Line, b.At.Line), cmp.Compare(a.At.Column, b.At.Column))
	})
	return c.findings
}

type collector struct {
	m        manifest.Manifest
	findings []Finding
}

func (c *collector) add(severity Severity, rule Rule, at manifest.Position, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Severity: severity, Rule: rule, File: c.m.File(), At: at, Text: fmt.Sprintf(format, args...),
	})
}

// target is what a route matches by.
type target struct{ host, prefix string }

func targetOf(r manifest.Route) target { return target{host: r.Route.Host(), prefix: r.Route.Prefix()} }

func (c *collector) checkRoutes() {
	services := make(map[string]bool, len(c.m.Services()))
	for _, s := range c.m.Services() {
		services[s.Service.Name()] = true
	}
	first := make(map[target]manifest.Position, len(c.m.Routes()))
	for _, r := range c.m.Routes() {
		if before, taken := first[targetOf(r)]; taken {
			c.add(SeverityWarning, RuleShadowedRoute, r.At.Prefix,
				"route %q never matches: the route at line %d, column %d has the same host %q and prefix %q",
				r.Route.Name(), before.Line, before.Column, r.Route.Host(), r.Route.Prefix())
		} else {
			first[targetOf(r)] = r.At.Route
		}
		c.checkHost(r)
		c.checkPrefix(r)
		c.checkShares(r, services)
		c.checkRouteLimits(r)
	}
}

func (c *collector) checkHost(r manifest.Route) {
	host := r.Route.Host()
	switch {
	case host == "":
		c.add(SeverityWarning, RuleHost, r.At.Host, "route %q has no host: it matches only requests without one", r.Route.Name())
	case host != strings.ToLower(host):
		c.add(SeverityError, RuleHost, r.At.Host, "route %q never matches: hosts of requests are compared in lower case, %q",
			r.Route.Name(), strings.ToLower(host))
	case hasPort(host):
		c.add(SeverityError, RuleHost, r.At.Host, "route %q never matches: hosts of requests are compared without their port, not as %q",
			r.Route.Name(), host)
	}
}

// hasPort reports whether a host name has a port, or colons outside of brackets, which entries take for one.
func hasPort(host string) bool {
	return strings.LastIndexByte(host, ':') > strings.LastIndexByte(host, ']')
}

// isReachable reports whether a request can have the host and a path with the prefix of a route.
func isReachable(t target) bool {
	return t.host == strings.ToLower(t.host) && !hasPort(t.host) && (t.prefix == "" || t.prefix[0] == '/')
}

func (c *collector) checkPrefix(r manifest.Route) {
	switch prefix := r.Route.Prefix(); {
	case prefix == "":
		c.add(SeverityWarning, RulePrefix, r.At.Prefix, "route %q has no prefix: it matches each path of its host; the usual form is %q",
			r.Route.Name(), "/")
	case prefix[0] != '/':
		c.add(SeverityError, RulePrefix, r.At.Prefix, "route %q never matches: its prefix %q does not begin with a slash",
			r.Route.Name(), prefix)
	case prefix[len(prefix)-1] != '/':
		c.add(SeverityWarning, RulePrefix, r.At.Prefix, "route %q: its prefix %q does not end with a slash, so that it also matches %q",
			r.Route.Name(), prefix, prefix+"x")
	}
}

func (c *collector) checkShares(r manifest.Route, services map[string]bool) {
	total := 0
	for i, share := range r.Route.Shares() {
		total += max(0, share.Weight)
		switch {
		case share.Service == "":
			c.add(SeverityError, RuleNoService, r.SharesAt[i], "route %q names no service", r.Route.Name())
		case services[share.Service]:
		case share.Weight <= 0:
			c.add(SeverityWarning, RuleUnknownService, r.SharesAt[i], "route %q names service %q with weight 0, and no such service exists",
				r.Route.Name(), share.Service)
		default:
			c.add(SeverityError, RuleUnknownService, r.SharesAt[i], "route %q leads to service %q, which does not exist",
				r.Route.Name(), share.Service)
		}
	}
	if total == 0 {
		c.add(SeverityError, RuleNoService, r.At.Services, "route %q has no service with a weight over 0: all its requests are refused",
			r.Route.Name())
	}
}

func (c *collector) checkRouteLimits(r manifest.Route) {
	timeout := r.Route.Timeout()
	switch {
	case timeout < 0:
		c.add(SeverityError, RuleTimeout, r.At.Timeout, "route %q has the timeout %v: all its requests fail", r.Route.Name(), timeout)
	case timeout > 0 && timeout < r.Goal:
		c.add(SeverityWarning, RuleTimeout, r.At.Timeout, "route %q: its timeout of %v is under its goal of %v", r.Route.Name(), timeout, r.Goal)
	}
	if r.Route.Repeat() == routing.RepeatUnsafe && r.Route.Attempts() > 1 {
		c.add(SeverityNote, RuleAttempts, r.At.Attempts,
			"route %q is unsafe and has %d attempts: another one is made only after a runner refused the request without running it",
			r.Route.Name(), r.Route.Attempts())
	}
	if !isPriority(r.Route.Priority()) {
		c.add(SeverityError, RulePriority, r.At.Priority, "route %q has priority %d, outside 0 to %d",
			r.Route.Name(), r.Route.Priority(), maxPriority)
	}
}

func isPriority(p int) bool { return 0 <= p && p <= maxPriority }

func (c *collector) checkServices() {
	used := map[string]bool{}
	for _, r := range c.m.Routes() {
		for _, share := range r.Route.Shares() {
			used[share.Service] = true
		}
	}
	lines := make(map[string]int, len(c.m.Services()))
	for _, s := range c.m.Services() {
		name := s.Service.Name()
		if before, found := lines[name]; found {
			c.add(SeverityWarning, RuleDuplicateService, s.At, "service %q is described twice; entries use this one and not that at line %d",
				name, before)
		}
		lines[name] = s.At.Line
		if !used[name] {
			c.add(SeverityNote, RuleUnusedService, s.At, "service %q has no route yet", name)
		}
	}
}

func (c *collector) checkLimits(memory int64) {
	l := c.m.Limits()
	if l.Limits.MaxHeaderBytes > maxHeaderBytes {
		c.add(SeverityWarning, RuleHeaderLimit, l.Header, "headers of %d bytes are allowed, but entries refuse those over %d",
			l.Limits.MaxHeaderBytes, maxHeaderBytes)
	}
	if memory > 0 && l.Limits.MaxBodyBytes > memory {
		c.add(SeverityWarning, RuleBodyLimit, l.Body, "bodies of %d bytes are allowed, but an entry has a memory of %d",
			l.Limits.MaxBodyBytes, memory)
	}
}

func (c *collector) checkAccounts() {
	if !c.m.RequiresKeys() {
		return
	}
	hasClosed := slices.ContainsFunc(c.m.Routes(), func(r manifest.Route) bool { return !r.Route.IsPublic() })
	if len(c.m.Accounts()) == 0 && (hasClosed || len(c.m.Routes()) == 0) {
		c.add(SeverityWarning, RuleNoAccounts, c.m.AccountsAt(),
			"the list of accounts is empty: nobody is let in, except on public routes; without the list no key is needed")
	}
	type holder struct {
		account int
		at      manifest.Position
	}
	holders := map[string]holder{}
	for i, a := range c.m.Accounts() {
		name := a.Account.Name()
		if !slices.ContainsFunc(a.Keys, func(k manifest.Key) bool { return k.Text != "" }) {
			c.add(SeverityWarning, RuleNoKeys, a.KeysAt, "account %q has no keys: it cannot be used", name)
		}
		if a.Priority != nil && !isPriority(*a.Priority) {
			c.add(SeverityError, RulePriority, a.LevelAt, "account %q has priority %d, outside 0 to %d", name, *a.Priority, maxPriority)
		}
		for _, k := range a.Keys {
			if k.Text == "" {
				continue
			}
			if h, held := holders[k.Text]; held && h.account != i {
				c.add(SeverityError, RuleSharedKey, k.At, "account %q has the same key as account %q at line %d, column %d, which entries take it for",
					name, c.m.Accounts()[h.account].Account.Name(), h.at.Line, h.at.Column)
			} else if !held {
				holders[k.Text] = holder{account: i, at: k.At}
			}
		}
	}
}
