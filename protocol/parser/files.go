package parser

import (
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// ServiceSuffix is the suffix of the name of a file that describes a service.
const ServiceSuffix = ".service.jsonc"

// AccountSuffix is the suffix of the name of a file that describes a client account.
const AccountSuffix = ".account.jsonc"

// DefaultTimeout is the request timeout of a service whose file sets none.
const DefaultTimeout = time.Minute

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

type serviceFile struct {
	Service string        `json:"service" need:"the service's name"`
	Mode    string        `json:"mode" oneof:"model,plain" need:"model or plain"`
	Pool    string        `json:"pool" need:"the pool of endpoints behind the service"`
	Timeout time.Duration `json:"timeout" min:"100ms"`
	Wait    time.Duration `json:"wait" min:"0s"`
	Retry   float64       `json:"retry" min:"0"`
	Repeat  []string      `json:"repeat"`
	Weight  int           `json:"weight" min:"1"`
	Freeze  []string      `json:"freeze"`
	Allow   []allowFile   `json:"allow" need:"the client accounts that may use the service"`
}

type allowFile struct {
	Account  string `json:"account" need:"the client account's name"`
	Limit    int    `json:"limit" min:"0"`
	Priority int    `json:"priority" min:"0"`
}

type accountFile struct {
	Account string   `json:"account" need:"the client account's name"`
	Hash    []string `json:"hash" need:"hex SHA-256 hashes of the account's keys"`
}

// Bundle holds the services and accounts that a set of files describes.
type Bundle struct {
	Services []catalog.Service
	Accounts []catalog.Account
}

// Parse returns the bundle with the service or account that one file describes, or an Error that lists the mistakes in
// the file. The suffix of the file's name decides whether it describes a service or an account.
func Parse(b Bundle, file string, text []byte) (Bundle, error) {
	switch {
	case strings.HasSuffix(file, ServiceSuffix):
		s, err := parseService(file, text)
		if err != nil {
			return b, err
		}
		b.Services = append(b.Services[:len(b.Services):len(b.Services)], s)
	case strings.HasSuffix(file, AccountSuffix):
		a, err := parseAccount(file, text)
		if err != nil {
			return b, err
		}
		b.Accounts = append(b.Accounts[:len(b.Accounts):len(b.Accounts)], a)
	default:
		return b, fault.Newf("parse "+filepath.Base(file), KindUnreadable,
			"%s: a file name that ends in %s or %s", file, ServiceSuffix, AccountSuffix)
	}
	return b, nil
}

func parseService(file string, text []byte) (catalog.Service, error) {
	f := serviceFile{
		Timeout: DefaultTimeout, Wait: catalog.DefaultMaxQueueWait, Retry: catalog.DefaultRetryShare, Weight: DefaultSkewWeight,
	}
	if err := Decode(file, text, &f); err != nil {
		return catalog.Service{}, err
	}
	if !namePattern.MatchString(f.Service) {
		return catalog.Service{}, wrongValue(file, text, f.Service, "service", "small letters, digits and hyphens")
	}
	if f.Weight > maxSkewWeight {
		return catalog.Service{}, wrongValue(file, text, "weight", "weight", "a whole number from 1 to 99")
	}
	freezes, err := parseFreezes(file, text, f.Freeze)
	if err != nil {
		return catalog.Service{}, err
	}
	grants := make([]catalog.Grant, len(f.Allow))
	for i, a := range f.Allow {
		grants[i] = catalog.NewGrant(a.Account, a.Limit, a.Priority)
	}
	return catalog.NewService(f.Service,
		catalog.ServedBy(catalog.Mode(f.Mode), f.Pool),
		catalog.Source(file),
		catalog.Timeout(f.Timeout),
		catalog.MaxQueueWait(f.Wait),
		catalog.RetryShare(f.Retry),
		catalog.Repeatable(f.Repeat...),
		catalog.ExpertMoves(f.Weight, freezes...),
		catalog.Grants(grants...),
	), nil
}

func parseAccount(file string, text []byte) (catalog.Account, error) {
	var f accountFile
	if err := Decode(file, text, &f); err != nil {
		return catalog.Account{}, err
	}
	if !namePattern.MatchString(f.Account) {
		return catalog.Account{}, wrongValue(file, text, f.Account, "account", "small letters, digits and hyphens")
	}
	for _, hash := range f.Hash {
		if !hashPattern.MatchString(hash) {
			return catalog.Account{}, wrongValue(file, text, hash, "hash", "64 hexadecimal digits, as `kingcupstile hash` prints them")
		}
	}
	return catalog.NewAccount(f.Account, file, f.Hash...), nil
}

// wrongValue returns an Error of KindWrongValue at the first occurrence of a quoted value in the file.
func wrongValue(file string, text []byte, value, key, want string) error {
	d := &decoder{file: file, text: text}
	d.addMistake(max(0, strings.Index(string(text), `"`+value+`"`)), key, KindWrongValue, want)
	return d.err()
}

// CheckBundle returns an Error of KindDuplicate if two files describe the same service or account.
func CheckBundle(b Bundle) error {
	sources := map[string]string{}
	checkUnique := func(what, name, file string) error {
		if other, found := sources[what+name]; found {
			return fault.Newf("check", KindDuplicate, "%s %q is described in %s and in %s", what, name, other, file)
		}
		sources[what+name] = file
		return nil
	}
	for _, s := range b.Services {
		if err := checkUnique("service", s.Name(), s.Source()); err != nil {
			return err
		}
	}
	for _, a := range b.Accounts {
		if err := checkUnique("account", a.Name(), a.Source()); err != nil {
			return err
		}
	}
	return nil
}
