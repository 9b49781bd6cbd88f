package manifest

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/routing"
)

// Position is the place of a member in a file; lines and columns count from 1. The position of a missing member is that of
// the object that lacks it.
type Position struct {
	Line, Column int
	// Key is the member's name in the file, empty for a value that is not a member.
	Key string
}

// Extra is a member that entries do not read.
type Extra struct {
	At Position
	// Value is the member's text.
	Value string
}

// Mistake is a fault for which entries refuse a whole configuration, or which readers of the format interpret differently.
type Mistake struct {
	At   Position
	Text string
	// HidesValues says that the manifest lacks values because of the mistake, and has zeros for them.
	HidesValues bool
}

// Route is a route with its positions.
type Route struct {
	// Route is the route as entries use it.
	Route routing.Route
	// Goal is the time in which the first part of an answer is due, 0 if there is none.
	Goal time.Duration
	At   RouteAt
	// SharesAt holds the positions of the route's services, in the order of the route's shares.
	SharesAt []Position
	Extras   []Extra
}

// RouteAt holds the positions of a route and of its members.
type RouteAt struct {
	Route, Name, Host, Prefix, Type, Timeout, Goal, Gap, Priority, Services, Attempts, Public, Resumable Position
}

// Service is a service with its position.
type Service struct {
	Service routing.Service
	At      Position
	Extras  []Extra
}

// Limits are the limits on callers' requests with their positions.
type Limits struct {
	Limits                                   routing.Limits
	Header, Body, HeaderTimeout, IdleTimeout Position
	Extras                                   []Extra
}

// Key is an API key with its position.
type Key struct {
	Text string
	At   Position
}

// Account is a client account with its keys and positions.
type Account struct {
	Account routing.Account
	// Priority is the account's own priority, nil if that of the routes counts.
	Priority            *int
	Keys                []Key
	At, KeysAt, LevelAt Position
	Extras              []Extra
}

// Manifest is one version of the configuration as it was written. It is immutable; the With methods return changed copies.
type Manifest struct {
	file         string
	version      uint64
	versionAt    Position
	size         int
	maxSize      int
	routes       []Route
	services     []Service
	limits       Limits
	accounts     []Account
	accountsAt   Position
	requiresKeys bool
	extras       []Extra
	mistakes     []Mistake
}

// New returns a manifest without content, read from the named file.
func New(file string) Manifest { return Manifest{file: file} }

// WithVersion returns the manifest with the operators' version.
func (m Manifest) WithVersion(version uint64, at Position) Manifest {
	m.version, m.versionAt = version, at
	return m
}

// WithSize returns the manifest with the size in bytes of its shortest text, and with the largest one that entries read.
func (m Manifest) WithSize(size, largest int) Manifest {
	m.size, m.maxSize = size, largest
	return m
}

// WithRoutes returns the manifest with these routes, in the order of the file.
func (m Manifest) WithRoutes(routes ...Route) Manifest {
	m.routes = slices.Clip(routes)
	return m
}

// WithServices returns the manifest with these services, in the order of the file.
func (m Manifest) WithServices(services ...Service) Manifest {
	m.services = slices.Clip(services)
	return m
}

// WithLimits returns the manifest with the limits on callers' requests.
func (m Manifest) WithLimits(limits Limits) Manifest {
	m.limits = limits
	return m
}

// WithAccounts returns the manifest with a list of accounts, which may be empty; requests then need a key of one of them.
func (m Manifest) WithAccounts(at Position, accounts ...Account) Manifest {
	m.requiresKeys, m.accountsAt, m.accounts = true, at, slices.Clip(accounts)
	return m
}

// WithExtras returns the manifest with the members of its top level that entries do not read.
func (m Manifest) WithExtras(extras ...Extra) Manifest {
	m.extras = slices.Clip(extras)
	return m
}

// WithMistakes returns the manifest with further mistakes.
func (m Manifest) WithMistakes(mistakes ...Mistake) Manifest {
	m.mistakes = slices.Concat(m.mistakes, mistakes)
	return m
}

// File returns the name of the file, or of another source.
func (m Manifest) File() string { return m.file }

// Version returns the operators' version, 0 if it is missing.
func (m Manifest) Version() uint64 { return m.version }

// VersionAt returns the position of the version.
func (m Manifest) VersionAt() Position { return m.versionAt }

// Size returns the size in bytes of the shortest text, without spaces between values.
func (m Manifest) Size() int { return m.size }

// MaxSize returns the size in bytes of the largest text that entries read.
func (m Manifest) MaxSize() int { return m.maxSize }

// Routes returns the routes in the order of the file, which the caller must not change.
func (m Manifest) Routes() []Route { return m.routes }

// Services returns the services in the order of the file, which the caller must not change.
func (m Manifest) Services() []Service { return m.services }

// Limits returns the limits on callers' requests.
func (m Manifest) Limits() Limits { return m.limits }

// Accounts returns the accounts in the order of the file, which the caller must not change.
func (m Manifest) Accounts() []Account { return m.accounts }

// AccountsAt returns the position of the list of accounts.
func (m Manifest) AccountsAt() Position { return m.accountsAt }

// RequiresKeys reports whether requests need a key unless their route is public.
func (m Manifest) RequiresKeys() bool { return m.requiresKeys }

// Extras returns the members of the top level that entries do not read.
func (m Manifest) Extras() []Extra { return m.extras }

// IsComplete reports whether no mistake hides a value.
func (m Manifest) IsComplete() bool {
	return !slices.ContainsFunc(m.mistakes, func(m Mistake) bool { return m.HidesValues })
}

// Mistakes returns the mistakes in the order in which they were found, which the caller must not change.
func (m Manifest) Mistakes() []Mistake { return m.mistakes }
