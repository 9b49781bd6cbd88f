package catalog

// Account is a client account; it holds hashes of the account's keys, never the keys.
type Account struct {
	name   string
	hashes []string
	source string
}

// NewAccount returns an account; source is the file that describes it, hashes are the hex SHA-256 hashes of its keys.
func NewAccount(name, source string, hashes ...string) Account {
	return Account{name: name, source: source, hashes: hashes}
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Source returns the file that describes the account.
func (a Account) Source() string { return a.source }

// Hashes returns the hex SHA-256 hashes of the account's keys, which the caller must not change.
func (a Account) Hashes() []string { return a.hashes }
