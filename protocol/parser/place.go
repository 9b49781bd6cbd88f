package parser

import (
	"net/netip"
	"reflect"
	"strings"
	"time"
)

// Place is what a daemon on the users' platform is told at its start.
type Place struct {
	Role   string `json:"role" oneof:"entry,endpoint" need:"entry or endpoint"`
	Name   string `json:"name" need:"the VM's name"`
	Centre string `json:"centre" need:"the data centre that the VM is in"`
	Region string `json:"region"`
	IP     string `json:"ip" need:"the VM's IP address"`
	Store  string `json:"store" need:"the IP address and port of the platform's store"`
	// Callers, Ready and Lookup are the addresses for callers' requests, the question whether the entry is ready, and the
	// question which entries to use.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Lookup  string `json:"lookup"`
	Page    string `json:"page"`
	// Internal are the first and the last port that daemons may use between them.
	Internal []int `json:"internal" min:"1"`
	// Engine is the address of the runner beside an endpoint process, and Service what it answers for.
	Engine  string        `json:"engine"`
	Service string        `json:"service"`
	Grace   time.Duration `json:"grace" min:"100ms"`
	// Revoke is how soon a key that was taken away must not be used any more.
	Revoke time.Duration `json:"revoke" min:"0s"`
	// Lifetime is the longest time that callers may keep an answer on which entries to use.
	Lifetime time.Duration `json:"lifetime" min:"0s"`
	// Retries and Slack bound retries within a window: a share of the requests, and a number.
	Retries float64 `json:"retries" min:"0"`
	Slack   float64 `json:"slack" min:"0"`
	// Weight is the weight of skew against moves of experts in hundredths.
	Weight int    `json:"weight" min:"1"`
	Level  string `json:"level" oneof:"debug,info,warn,error"`
}

// IsSame reports whether settings are the same but for the level of the log.
func (p Place) IsSame(other Place) bool {
	p.Level = other.Level
	return reflect.DeepEqual(p, other)
}

const (
	// trustShare is the share of the time to revoke a key within which what is known of keys counts as new.
	trustShare = 0.6
	// defaultRevoke is the time to revoke a key if the settings give none.
	defaultRevoke = 5 * time.Second
	// defaultGracePlace is the time to stop if the settings give none.
	defaultGracePlace = 8 * time.Second
	defaultLifetime   = 2 * time.Second
	defaultRetries    = 0.2
	// defaultWeight favours even steps: a stalled stream costs its reader more than a copy costs the group.
	defaultWeight = 90
)

// Trust returns how old the knowledge of keys may be.
func (p Place) Trust() time.Duration { return time.Duration(trustShare * float64(p.Revoke)) }

// ParsePlace reads the settings of a daemon on the users' platform, or returns an Error whose cause names each mistake.
func ParsePlace(file string, text []byte) (Place, error) {
	p := Place{
		Grace: defaultGracePlace, Revoke: defaultRevoke, Lifetime: defaultLifetime, Retries: defaultRetries, Weight: defaultWeight,
		Level: "info",
	}
	if err := Decode(file, text, &p); err != nil {
		return Place{}, err
	}
	d := &decoder{file: file, text: text}
	at := func(key string) int { return max(0, strings.Index(string(text), `"`+key+`"`)) }
	check := func(key, value string, needed bool) {
		if value == "" && !needed {
			return
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			d.add(at(key), key, KindValue, "an IP address and a port like 10.0.0.7:7400")
		}
	}
	isEntry := p.Role == "entry"
	check("store", p.Store, true)
	check("callers", p.Callers, isEntry)
	check("ready", p.Ready, isEntry)
	check("lookup", p.Lookup, isEntry)
	check("engine", p.Engine, !isEntry)
	check("page", p.Page, false)
	if _, err := netip.ParseAddr(p.IP); err != nil {
		d.add(at("ip"), "ip", KindValue, "an IP address like 10.0.0.7")
	}
	if len(p.Internal) == 0 {
		d.add(at("internal"), "internal", KindValue, "the ports for daemons between them, like [7340, 7355]")
	}
	if err := d.err(); err != nil {
		return Place{}, err
	}
	if p.Revoke == 0 {
		p.Revoke = defaultRevoke
	}
	return p, nil
}
