package parser_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
)

const place = `// An entry.
{
  "role": "entry", "name": "e-1", "centre": "kgl-a", "ip": "10.0.0.1", "store": "10.0.0.9:80",
  "callers": "10.0.0.1:81", "ready": "10.0.0.1:82", "lookup": "10.0.0.1:83", "internal": [7340, 7355],
}`

// TestKeysAreTrustedForTheRevocationTime guards against callers that are refused in an outage of the store although a key that was taken
// away could still be used by what was promised, and against one that is used for longer.
func TestKeysAreTrustedForTheRevocationTime(t *testing.T) {
	for revocation, want := range map[time.Duration]time.Duration{
		5 * time.Second: 4500 * time.Millisecond, 2 * time.Second: 1500 * time.Millisecond, 300 * time.Millisecond: 0,
	} {
		if got := (parser.PlatformSettings{RevocationTime: revocation}).MaxKeyAge(); got != want {
			t.Errorf("trusted for %v of %v, want %v", got, revocation, want)
		}
	}
}

// TestTransferCost guards against a cost where the settings give none, and against settings that are taken although it makes no sense.
func TestTransferCost(t *testing.T) {
	for text, want := range map[string]float64{``: 0, `"transfer": 0,`: 0, `"transfer": 2500.5,`: 2500.5} {
		p, err := parser.ParsePlatformSettings("place", []byte(strings.Replace(place, `"role"`, text+`"role"`, 1)))
		if err != nil || p.Transfer != want {
			t.Errorf("%s: cost %v, %v", text, p.Transfer, err)
		}
	}
	for _, text := range []string{`"transfer": -1,`, `"transfer": "high",`} {
		if _, err := parser.ParsePlatformSettings("place", []byte(strings.Replace(place, `"role"`, text+`"role"`, 1))); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}

// TestWholeSettingsInAnySpelling guards against settings that are refused as the platform writes a whole number with a fraction.
func TestWholeSettingsInAnySpelling(t *testing.T) {
	for text, isWhole := range map[string]bool{"284": true, "284.0": true, "2.84e2": true, "284.5": false, "-1.0": false, "1e99": false} {
		p, err := parser.ParsePlatformSettings("place", []byte(strings.Replace(place, `"role"`, `"memory": `+text+`, "role"`, 1)))
		if (err == nil) != isWhole || isWhole && p.Memory != 284 {
			t.Errorf("%s: %d MB, %v", text, p.Memory, err)
		}
	}
}

func TestParsePlace(t *testing.T) {
	p, err := parser.ParsePlatformSettings("place", []byte(place))
	if err != nil || p.InternalPorts[0] != 7340 || p.MaxKeyAge().Seconds() != 4.5 {
		t.Fatalf("%+v, %v", p, err)
	}
	for name, test := range map[string]struct{ old, new, want string }{
		"role":     {`"entry"`, `"edge"`, `place:3:11: "role"`},
		"address":  {`"10.0.0.9:80"`, `"store"`, `place:3:72: "store"`},
		"ip":       {`"10.0.0.1",`, `"here",`, `place:3:54: "ip"`},
		"callers":  {`"callers": "10.0.0.1:81",`, ``, "callers"},
		"ports":    {`[7340, 7355]`, `[]`, "internal"},
		"unknown":  {`"ip"`, `"zap": 1, "ip"`, "zap"},
		"syntax":   {`{`, `[`, "place:"},
		"cold":     {`"ip"`, `"cold": -1, "ip"`, "cold"},
		"slack":    {`"ip"`, `"coldslack": "5", "ip"`, "coldslack"},
		"duration": {`"ip"`, `"grace": "soon", "ip"`, "grace"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parser.ParsePlatformSettings("place", []byte(strings.Replace(place, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}
