package parser

import (
	"net/netip"
	"reflect"
	"strings"
	"time"
)

// PlatformSettings holds the settings of a daemon that runs on the users' platform.
type PlatformSettings struct {
	Role   string `json:"role" oneof:"entry,endpoint" need:"entry or endpoint"`
	Name   string `json:"name" need:"the VM's name"`
	Centre string `json:"centre" need:"the data centre that the VM is in"`
	Region string `json:"region"`
	IP     string `json:"ip" need:"the VM's IP address"`
	Store  string `json:"store" need:"the IP address and port of the platform's store"`
	// Callers, Ready and Lookup are the addresses on which an entry serves callers' requests, the platform's readiness
	// probe, and the list of entries that callers may use.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Lookup  string `json:"lookup"`
	// MetricsAddress is where metrics are served, empty for nowhere.
	MetricsAddress string `json:"page"`
	// InternalPorts holds the first and the last port for traffic between daemons.
	InternalPorts []int `json:"internal" min:"1"`
	// Engine is the address of the runner beside an endpoint process, and Service the service that it runs.
	Engine  string `json:"engine"`
	Service string `json:"service"`
	// Grace is how long a stopping daemon may wait for requests in progress.
	Grace time.Duration `json:"grace" min:"100ms"`
	// RevocationTime is the time after which a revoked key must no longer be accepted; 0 stands for the default.
	RevocationTime time.Duration `json:"revoke" min:"0s"`
	// EvacuationTime is the time after which nothing may be sent any longer to the runners of a data centre that operators drain;
	// at 0 drained data centres are not read.
	EvacuationTime time.Duration `json:"evacuate" min:"0s"`
	// LookupTTL is the longest time for which callers may cache the list of entries.
	LookupTTL time.Duration `json:"lifetime" min:"0s"`
	// RetryRatio and RetryBurst bound retries within a window: as a fraction of the requests, plus a number of retries.
	RetryRatio float64 `json:"retries" min:"0"`
	RetryBurst float64 `json:"slack" min:"0"`
	// ColdOverage and ColdSlack bound the requests that a cold runner gets in a second, over all entries: what it can bear times the
	// overage, plus the slack. At an overage of 0 they are not bounded.
	ColdOverage float64 `json:"cold" min:"0"`
	ColdSlack   float64 `json:"coldslack" min:"0"`
	// Transfer is the cost of a megabyte sent between data centres, in milliseconds for which one caller may wait instead; at 0, fixed
	// weights decide when requests go to other data centres.
	Transfer float64 `json:"transfer" min:"0"`
	// Memory is how many MB of memory the process may use, 0 if that is not known.
	Memory int `json:"memory" min:"0"`
	// Weight is the weight of load skew against the cost of moving experts, in hundredths.
	Weight int    `json:"weight" min:"1"`
	Level  string `json:"level" oneof:"debug,info,warn,error"`
}

// IsSameExceptLevel reports whether two settings differ in nothing but the log level.
func (p PlatformSettings) IsSameExceptLevel(other PlatformSettings) bool {
	p.Level = other.Level
	return reflect.DeepEqual(p, other)
}

const (
	// keyAgeMargin is how much less than the revocation time knowledge of keys may be used without a confirmation: a pause of the
	// process up to this length is not noticed, and may come between the check of a key and what is done by it.
	keyAgeMargin          = 500 * time.Millisecond
	defaultRevocationTime = 5 * time.Second
	defaultPlatformGrace  = 8 * time.Second
	defaultLookupTTL      = 2 * time.Second
	defaultRetryRatio     = 0.2
	// defaultPlatformSkewWeight favours even load over few moves, as a stalled stream costs its reader more than the copy
	// of an expert costs the rank group.
	defaultPlatformSkewWeight = 90
)

// MaxKeyAge returns how old an entry's knowledge of keys may be before the entry must not rely on it.
func (p PlatformSettings) MaxKeyAge() time.Duration {
	return max(0, p.RevocationTime-keyAgeMargin)
}

// ParsePlatformSettings parses the settings of a daemon on the users' platform, or returns an Error that lists the
// mistakes.
func ParsePlatformSettings(file string, text []byte) (PlatformSettings, error) {
	p := PlatformSettings{
		Grace: defaultPlatformGrace, RevocationTime: defaultRevocationTime, LookupTTL: defaultLookupTTL, RetryRatio: defaultRetryRatio,
		Weight: defaultPlatformSkewWeight, Level: "info",
	}
	if err := Decode(file, text, &p); err != nil {
		return PlatformSettings{}, err
	}
	d := &decoder{file: file, text: text}
	at := func(key string) int { return max(0, strings.Index(string(text), `"`+key+`"`)) }
	check := func(key, value string, required bool) {
		if value == "" && !required {
			return
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			d.addMistake(at(key), key, KindWrongValue, "an IP address and a port like 10.0.0.7:7400")
		}
	}
	isEntry := p.Role == "entry"
	check("store", p.Store, true)
	check("callers", p.Callers, isEntry)
	check("ready", p.Ready, isEntry)
	check("lookup", p.Lookup, isEntry)
	check("engine", p.Engine, !isEntry)
	check("page", p.MetricsAddress, false)
	if _, err := netip.ParseAddr(p.IP); err != nil {
		d.addMistake(at("ip"), "ip", KindWrongValue, "an IP address like 10.0.0.7")
	}
	if len(p.InternalPorts) == 0 {
		d.addMistake(at("internal"), "internal", KindWrongValue, "the ports for daemons between them, like [7340, 7355]")
	}
	if err := d.err(); err != nil {
		return PlatformSettings{}, err
	}
	if p.RevocationTime == 0 {
		p.RevocationTime = defaultRevocationTime
	}
	return p, nil
}
