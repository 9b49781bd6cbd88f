package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is one version of the configuration.
type Table struct {
	version  uint64
	revision uint64
	hosts    map[string][]Route
	services map[string]Service
	accounts map[uint64][]credential
	keyed    bool
	limits   Limits
}

type credential struct {
	key     string
	account Account
}

// TableOption sets a field of a Table under construction.
type TableOption func(*Table)

// Revision sets the revision of the stored object that the table was read from.
func Revision(r uint64) TableOption { return func(t *Table) { t.revision = r } }

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

// Keyed says that requests need a key unless their route is public.
func Keyed() TableOption { return func(t *Table) { t.keyed = true } }

// Keys adds an account with its keys.
func Keys(a Account, keys ...string) TableOption {
	return func(t *Table) {
		for _, k := range keys {
			hash := xxhash.Sum64String(k)
			t.accounts[hash] = append(t.accounts[hash], credential{key: k, account: a})
		}
	}
}

// Bounds sets the limits.
func Bounds(l Limits) TableOption { return func(t *Table) { t.limits = l } }

// NewTable returns the table of a version.
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

// Version returns the operators' version, 0 for a table that was never read.
func (t Table) Version() uint64 { return t.version }

// Revision returns the revision of the stored object that the table was read from.
func (t Table) Revision() uint64 { return t.revision }

// Limits returns what callers may send.
func (t Table) Limits() Limits { return t.limits }

// Match returns the route of a host with the longest prefix that begins the path, and false if there is none.
func (t Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Authenticate returns the account that holds a key, and false if none does.
func (t Table) Authenticate(key string) (Account, bool) {
	for _, c := range t.accounts[xxhash.Sum64String(key)] {
		if c.key == key {
			return c.account, true
		}
	}
	return Account{}, false
}

// NeedsKey reports whether requests on a route need a key.
func (t Table) NeedsKey(r Route) bool { return t.keyed && !r.public }

// Service returns the named service.
func (t Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name, which the caller must not change.
func (t Table) Services() map[string]Service { return t.services }

// Hosts returns all routes by host, which the caller must not change.
func (t Table) Hosts() map[string][]Route { return t.hosts }
