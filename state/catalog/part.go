package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The highest average number of services, grants and accounts in a part.
const (
	servicesPerPart = 8
	grantsPerPart   = 256
	accountsPerPart = 32
)

// Part is a piece of a configuration that is stored as one object, so that a change writes only the parts that differ.
type Part struct {
	services []Service
	grants   map[string][]Grant
	accounts []Account
}

// NewPart returns a part of services without their grants, of grants by service name, and of accounts.
func NewPart(services []Service, grants map[string][]Grant, accounts []Account) Part {
	return Part{services: services, grants: grants, accounts: accounts}
}

// Services returns the part's services without their grants, which the caller must not change.
func (p Part) Services() []Service { return p.services }

// Grants returns the part's grants by service name, which the caller must not change.
func (p Part) Grants() map[string][]Grant { return p.grants }

// Accounts returns the part's accounts, which the caller must not change.
func (p Part) Accounts() []Account { return p.accounts }

// Split returns the parts of a configuration; each service, grant and account is in the part that its name hashes to,
// so a change to one changes a single part unless the number of buckets changes.
func Split(c Catalog) []Part {
	services := make([][]Service, bucketCount(len(c.services), servicesPerPart))
	accounts := make([][]Account, bucketCount(len(c.accounts), accountsPerPart))
	count := 0
	for _, s := range c.services {
		count += len(s.grants)
	}
	grants := make([]map[string][]Grant, bucketCount(count, grantsPerPart))
	for _, s := range c.Services() {
		i := bucketIndex(s.name, len(services))
		services[i] = append(services[i], s.withoutGrants())
		for _, g := range s.Grants() {
			i := bucketIndex(s.name+"/"+g.account, len(grants))
			if grants[i] == nil {
				grants[i] = map[string][]Grant{}
			}
			grants[i][s.name] = append(grants[i][s.name], g)
		}
	}
	for _, a := range c.Accounts() {
		i := bucketIndex(a.name, len(accounts))
		accounts[i] = append(accounts[i], a)
	}
	parts := make([]Part, 0, len(services)+len(grants)+len(accounts))
	for _, group := range services {
		parts = append(parts, Part{services: group})
	}
	for _, group := range grants {
		parts = append(parts, Part{grants: group})
	}
	for _, group := range accounts {
		parts = append(parts, Part{accounts: group})
	}
	return slices.DeleteFunc(parts, Part.isEmpty)
}

// Join returns the configuration that consists of a head and all of its parts; it reverses Split.
func Join(h Head, parts ...Part) Catalog {
	grants := map[string][]Grant{}
	options := []Option{Version(h.version), Drained(h.drained...), Records(h.records...), NewestArchive(h.archive)}
	for _, p := range parts {
		options = append(options, Accounts(p.accounts...))
		for service, more := range p.grants {
			grants[service] = append(grants[service], more...)
		}
	}
	for _, p := range parts {
		for _, s := range p.services {
			options = append(options, Services(s.WithGrants(grants[s.name]...)))
		}
	}
	return New(options...)
}

func (p Part) isEmpty() bool { return len(p.services)+len(p.grants)+len(p.accounts) == 0 }

// bucketCount returns the smallest power of two at which count items in as many buckets average at most size each.
func bucketCount(count, size int) int {
	n := 1
	for n*size < count {
		n *= 2
	}
	return n
}

func bucketIndex(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }
