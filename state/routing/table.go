package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/position"
)

// Table is one version of the configuration; it is built once and then only read.
type Table struct {
	version      uint64
	position     position.Position
	hosts        map[string][]Route
	services     map[string]Service
	accounts     map[uint64][]credential
	requiresKeys bool
	limits       Limits
}

type credential struct {
	key     string
	account Account
}

// TableOption sets a field of a Table under construction.
type TableOption func(*Table)

// At sets the place in the store's history of the object that the table was read from.
func At(p position.Position) TableOption { return func(t *Table) { t.position = p } }

// Routes adds routes.
func Routes(routes ...Route) TableOption {
	return func(t *Table) {
		for _, r := range routes {
			t.hosts[r.host] = append(t.hosts[r.host], r)
		}
	}
}

// Services adds services.
func Services(services ...Service) TableOption {
	return func(t *Table) {
		for _, s := range services {
			t.services[s.name] = s
		}
	}
}

// RequireKeys makes requests need a key unless their route is public.
func RequireKeys() TableOption { return func(t *Table) { t.requiresKeys = true } }

// Keys adds an account with its API keys; an empty key is left out, as a request without a key has that one.
func Keys(a Account, keys ...string) TableOption {
	return func(t *Table) {
		for _, k := range keys {
			if k == "" {
				continue
			}
			hash := xxhash.Sum64String(k)
			t.accounts[hash] = append(t.accounts[hash], credential{key: k, account: a})
		}
	}
}

// Bounds sets the limits on callers' requests.
func Bounds(l Limits) TableOption { return func(t *Table) { t.limits = l } }

// NewTable returns the table of a version; routes of a host are matched by longest prefix.
func NewTable(version uint64, options ...TableOption) Table {
	t := Table{
		version: version, hosts: map[string][]Route{}, services: map[string]Service{}, accounts: map[uint64][]credential{},
	}
	for _, option := range options {
		option(&t)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

// Version returns the version that the operators gave the configuration, 0 for the zero table.
func (t Table) Version() uint64 { return t.version }

// Position returns the place in the store's history of the object that the table was read from.
func (t Table) Position() position.Position { return t.position }

// Limits returns the limits on callers' requests.
func (t Table) Limits() Limits { return t.limits }

// Match returns the route for a host and path: the one with the longest matching prefix, and false if there is none.
func (t Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Authenticate returns the account that a key belongs to, and false if there is none.
func (t Table) Authenticate(key string) (Account, bool) {
	for _, c := range t.accounts[xxhash.Sum64String(key)] {
		if c.key == key {
			return c.account, true
		}
	}
	return Account{}, false
}

// NeedsKey reports whether requests on a route need a key.
func (t Table) NeedsKey(r Route) bool { return t.requiresKeys && !r.public }

// Service returns the named service, and false if there is none.
func (t Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name, which the caller must not change.
func (t Table) Services() map[string]Service { return t.services }

// Hosts returns all routes by host, which the caller must not change.
func (t Table) Hosts() map[string][]Route { return t.hosts }
