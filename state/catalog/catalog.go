package catalog

import (
	"maps"
	"slices"
)

// Catalog is one version of the whole configuration.
type Catalog struct {
	version  uint64
	services map[string]Service
	accounts map[string]Account
	byHash   map[string]string
	drained  map[string]bool
	records  []Record
	archive  string
}

// Option sets a field of a Catalog under construction.
type Option func(*Catalog)

// Version sets the catalog's version.
func Version(v uint64) Option { return func(c *Catalog) { c.version = v } }

// Services adds services.
func Services(services ...Service) Option {
	return func(c *Catalog) {
		for _, s := range services {
			c.services[s.name] = s
		}
	}
}

// Accounts adds client accounts.
func Accounts(accounts ...Account) Option {
	return func(c *Catalog) {
		for _, a := range accounts {
			c.accounts[a.name] = a
			for _, hash := range a.hashes {
				c.byHash[hash] = a.name
			}
		}
	}
}

// Drained adds VMs that get no new work.
func Drained(vms ...string) Option {
	return func(c *Catalog) {
		for _, name := range vms {
			c.drained[name] = true
		}
	}
}

// Records sets the audit trail, oldest first.
func Records(records ...Record) Option {
	return func(c *Catalog) { c.records = slices.Clone(records) }
}

// New returns a catalog, empty but for the options.
func New(options ...Option) Catalog {
	c := Catalog{services: map[string]Service{}, accounts: map[string]Account{}, byHash: map[string]string{}, drained: map[string]bool{}}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Version returns the catalog's version; each published version is greater than the one before.
func (c Catalog) Version() uint64 { return c.version }

// Service returns the named service.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c Catalog) Services() []Service {
	services := make([]Service, 0, len(c.services))
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		services = append(services, c.services[name])
	}
	return services
}

// Account returns the named client account.
func (c Catalog) Account(name string) (Account, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// Accounts returns all client accounts, sorted by name.
func (c Catalog) Accounts() []Account {
	accounts := make([]Account, 0, len(c.accounts))
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		accounts = append(accounts, c.accounts[name])
	}
	return accounts
}

// AccountByHash returns the account that has a key with the given hex SHA-256 hash.
func (c Catalog) AccountByHash(hash string) (Account, bool) {
	name, ok := c.byHash[hash]
	if !ok {
		return Account{}, false
	}
	return c.Account(name)
}

// IsDrained reports whether the named VM gets no new work.
func (c Catalog) IsDrained(vm string) bool { return c.drained[vm] }

// Drained returns the VMs that get no new work, sorted by name.
func (c Catalog) Drained() []string { return slices.Sorted(maps.Keys(c.drained)) }

// WithDrained returns the catalog with the named VM marked as drained, or no longer marked.
func (c Catalog) WithDrained(vm string, drained bool) Catalog {
	c.drained = maps.Clone(c.drained)
	delete(c.drained, vm)
	if drained {
		c.drained[vm] = true
	}
	return c
}

// Records returns the newest records of the audit trail, oldest first, which the caller must not change.
func (c Catalog) Records() []Record { return c.records }

// WithVersion returns the catalog at version v.
func (c Catalog) WithVersion(v uint64) Catalog {
	c.version = v
	return c
}

// WithRecord returns the catalog with a record added to its audit trail.
func (c Catalog) WithRecord(r Record) Catalog {
	c.records = append(slices.Clip(c.records), r)
	return c
}

// WithServices returns the catalog with the given services added, or replaced where the name exists.
func (c Catalog) WithServices(services ...Service) Catalog {
	c.services = maps.Clone(c.services)
	Services(services...)(&c)
	return c
}

// WithAccounts returns the catalog with the given client accounts added, or replaced where the name exists.
func (c Catalog) WithAccounts(accounts ...Account) Catalog {
	c.accounts, c.byHash = maps.Clone(c.accounts), maps.Clone(c.byHash)
	for _, a := range accounts {
		for _, hash := range c.accounts[a.name].hashes {
			if c.byHash[hash] == a.name {
				delete(c.byHash, hash)
			}
		}
	}
	Accounts(accounts...)(&c)
	return c
}
