package parser

import (
	"net/netip"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Settings holds the settings of a daemon.
type Settings struct {
	Role     string `json:"role" oneof:"entry,endpoint" need:"entry or endpoint"`
	Name     string `json:"name" need:"the VM's name in the platform's list"`
	Centre   string `json:"centre" need:"the data centre that the VM is in"`
	Platform string `json:"platform" need:"the platform's IP address and port"`
	// Callers is the address for callers' requests, which an entry needs.
	Callers string `json:"callers"`
	Peers   string `json:"peers" need:"the IP address and port for other daemons"`
	// MetricsAddress is where metrics are served.
	MetricsAddress string `json:"page"`
	// Engine is the address of the runner beside an endpoint process, and Pool the pool that it belongs to.
	Engine string `json:"engine"`
	Pool   string `json:"pool"`
	// Limit is the most attempts that run at once on an endpoint, 0 for the limiter's default.
	Limit int `json:"limit" min:"0"`
	// Grace is how long a leaving daemon waits for requests in progress.
	Grace  time.Duration `json:"grace" min:"1s"`
	Level  string        `json:"level" oneof:"debug,info,warn,error"`
	Fences bool          `json:"fences"`
}

// IsSameExceptLevel reports whether two settings differ in nothing but the log level.
func (s Settings) IsSameExceptLevel(other Settings) bool {
	s.Level = other.Level
	return s == other
}

// DefaultGrace is the grace period of a daemon whose settings set none.
const DefaultGrace = 2 * time.Minute

// ParseSettings parses a daemon's settings, or returns an Error that lists the mistakes.
func ParseSettings(file string, text []byte) (Settings, error) {
	s := Settings{Grace: DefaultGrace, Level: "info"}
	if err := Decode(file, text, &s); err != nil {
		return Settings{}, err
	}
	var mistakes MistakeErrors
	check := func(key, value string, required bool) {
		if value == "" && !required {
			return
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			d := &decoder{file: file, text: text}
			d.addMistake(max(0, strings.Index(string(text), `"`+key+`"`)), key, KindWrongValue, "an IP address and a port like 10.0.0.7:7400")
			mistakes = append(mistakes, d.mistakes...)
		}
	}
	check("platform", s.Platform, true)
	check("peers", s.Peers, true)
	check("callers", s.Callers, s.Role == "entry")
	check("engine", s.Engine, s.Role == "endpoint")
	check("page", s.MetricsAddress, false)
	if len(mistakes) > 0 {
		return Settings{}, fault.New("parse "+file, KindWrongValue, mistakes)
	}
	return s, nil
}
