package validator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/kingcupstile/kingcupstile/coordination/validator"
	"github.com/kingcupstile/kingcupstile/state/manifest"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

func newRoute(name, host, prefix string, options ...routing.RouteOption) manifest.Route {
	options = append([]routing.RouteOption{routing.Shares(routing.Share{Service: "x", Weight: 1})}, options...)
	r := routing.NewRoute(name, host, prefix, routing.RepeatSafe, options...)
	return manifest.Route{Route: r, SharesAt: make([]manifest.Position, len(r.Shares()))}
}

func newAccount(name string, priority int, keys ...string) manifest.Account {
	a := manifest.Account{Account: routing.NewAccount(name).WithPriority(priority), Priority: &priority}
	for _, k := range keys {
		a.Keys = append(a.Keys, manifest.Key{Text: k})
	}
	return a
}

func newManifest(version uint64, routes ...manifest.Route) manifest.Manifest {
	services := []manifest.Service{
		{Service: routing.NewService("x", 9, routing.Engine{Slots: 4})}, {Service: routing.NewService("y", 9, routing.Engine{})},
	}
	return manifest.New("f").WithVersion(version, manifest.Position{Line: 1}).WithRoutes(routes...).WithServices(services...)
}

func rulesOf(findings []validator.Finding) []string {
	rules := make([]string, 0, len(findings))
	for _, f := range findings {
		rules = append(rules, string(f.Severity)+" "+string(f.Rule))
	}
	slices.Sort(rules)
	return rules
}

// TestSoundConfigurationHasOnlyNotes guards against false findings.
func TestSoundConfigurationHasOnlyNotes(t *testing.T) {
	split := routing.Shares(routing.Share{Service: "x", Weight: 100}, routing.Share{Service: "y", Weight: 0})
	m := newManifest(7,
		newRoute("a", "h.example", "/a/", split, routing.Timeout(time.Second), routing.Attempts(2)),
		newRoute("ab", "h.example", "/a/b/", routing.Timeout(time.Second), routing.Public(true), routing.Priority(9)),
		newRoute("root", "h.example", "/"), newRoute("a", "other.example", "/a/"), newRoute("six", "[2001:db8::1]", "/a/"),
	).WithAccounts(manifest.Position{}, newAccount("t", 0, "k1", "k2"), newAccount("u", 9, "k3")).
		WithLimits(manifest.Limits{Limits: routing.Limits{MaxHeaderBytes: 128 << 10, MaxBodyBytes: 256 << 20}}).WithSize(9, 9)
	if found := validator.New().WithMemory(256 << 20).Validate(m); len(found) > 0 {
		t.Errorf("%+v", found)
	}
	r := newRoute("a", "h.example", "/a/")
	r.Route = routing.NewRoute("a", "h.example", "/a/", routing.RepeatUnsafe, routing.Attempts(2), routing.Shares(r.Route.Shares()...))
	want := []string{"note attempts", "note unused-service"}
	if diff := cmp.Diff(want, rulesOf(validator.New().Validate(newManifest(7, r)))); diff != "" {
		t.Error(diff)
	}
}

// TestFindings guards against a fault of a configuration that is not found; the scripts in commands/testdata hold the texts.
func TestFindings(t *testing.T) {
	at := manifest.Position{Line: 3, Column: 4, Key: "k"}
	one := newRoute("a", "h", "/a/", routing.Shares(routing.Share{Service: "x", Weight: 1}, routing.Share{Service: "y", Weight: 1}))
	goal := newRoute("a", "h", "/b/", routing.Timeout(time.Second))
	goal.Goal = time.Second + time.Millisecond
	for name, test := range map[string]struct {
		m    manifest.Manifest
		want []string
	}{
		"mistake":          {newManifest(1, one).WithMistakes(manifest.Mistake{At: at}), []string{"error invalid"}},
		"size":             {newManifest(1, one).WithSize(10, 9), []string{"error too-large"}},
		"shadowed":         {newManifest(1, one, one), []string{"warning shadowed-route"}},
		"capitals":         {newManifest(1, one, newRoute("b", "H", "/b/")), []string{"error host"}},
		"port":             {newManifest(1, one, newRoute("b", "h:80", "/b/")), []string{"error host"}},
		"no host":          {newManifest(1, one, newRoute("b", "", "/b/")), []string{"warning host"}},
		"no leading slash": {newManifest(1, one, newRoute("b", "h", "b/")), []string{"error prefix"}},
		"no last slash":    {newManifest(1, one, newRoute("b", "h", "/b")), []string{"warning prefix"}},
		"no prefix":        {newManifest(1, one, newRoute("b", "h", "")), []string{"warning prefix"}},
		"service": {
			newManifest(1, one, newRoute("b", "h", "/b/", routing.Shares(routing.Share{Service: "z", Weight: 1}))),
			[]string{"error unknown-service"},
		},
		"service without weight": {
			newManifest(1, one, newRoute("b", "h", "/b/",
				routing.Shares(routing.Share{Service: "z"}, routing.Share{Service: "x", Weight: 1}))), []string{"warning unknown-service"},
		},
		"no service": {newManifest(1, one, newRoute("b", "h", "/b/", routing.Shares(routing.Share{Weight: 1}))), []string{"error no-service"}},
		"no weight": {
			newManifest(1, one, newRoute("b", "h", "/b/", routing.Shares(routing.Share{Service: "x"}))), []string{"error no-service"},
		},
		"service twice": {
			newManifest(1, one).WithServices(slices.Repeat(newManifest(1).Services(), 2)...),
			[]string{"warning duplicate-service", "warning duplicate-service"},
		},
		"negative timeout": {newManifest(1, one, newRoute("b", "h", "/b/", routing.Timeout(-1))), []string{"error timeout"}},
		"goal":             {newManifest(1, one, goal), []string{"warning timeout"}},
		"priority":         {newManifest(1, one, newRoute("b", "h", "/b/", routing.Priority(10))), []string{"error priority"}},
		"low priority":     {newManifest(1, one, newRoute("b", "h", "/b/", routing.Priority(-1))), []string{"error priority"}},
		"header": {
			newManifest(1, one).WithLimits(manifest.Limits{Limits: routing.Limits{MaxHeaderBytes: 128<<10 + 1}}), []string{"warning header-limit"},
		},
		"body": {
			newManifest(1, one).WithLimits(manifest.Limits{Limits: routing.Limits{MaxBodyBytes: 1<<20 + 1}}), []string{"warning body-limit"},
		},
		"no accounts":           {newManifest(1, one).WithAccounts(at), []string{"warning no-accounts"}},
		"no accounts or routes": {newManifest(1).WithAccounts(at), []string{"note unused-service", "note unused-service", "warning no-accounts"}},
		"nameless service": {
			newManifest(1, newRoute("b", "h", "/b/", routing.Shares(routing.Share{Weight: 1}))).WithServices(manifest.Service{}),
			[]string{"error no-service"},
		},
		"all public":       {newManifest(1, newRoute("a", "h", "/", routing.Public(true))).WithAccounts(at), []string{"note unused-service"}},
		"no keys":          {newManifest(1, one).WithAccounts(at, newAccount("t", 1, "")), []string{"warning no-keys"}},
		"account priority": {newManifest(1, one).WithAccounts(at, newAccount("t", 10, "k")), []string{"error priority"}},
		"shared key": {
			newManifest(1, one).WithAccounts(at, newAccount("t", 1, "k"), newAccount("u", 1, "j", "k")), []string{"error shared-key"},
		},
		"key twice in an account": {newManifest(1, one).WithAccounts(at, newAccount("t", 1, "k", "k")), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, rulesOf(validator.New().WithMemory(1<<20).Validate(test.m)), cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestVersions guards against a version that entries ignore and the check lets pass.
func TestVersions(t *testing.T) {
	before := newManifest(7, newRoute("a", "h", "/a/"))
	for name, test := range map[string]struct {
		after manifest.Manifest
		want  []string
	}{
		"higher":        {newManifest(8, newRoute("a", "h", "/a/")), nil},
		"same":          {before, nil},
		"same, differs": {newManifest(7, newRoute("b", "h", "/b/")), []string{"error version"}},
		"lower":         {newManifest(6, newRoute("a", "h", "/a/")), []string{"error version"}},
	} {
		if _, found := validator.Compare(before, test.after); cmp.Diff(test.want, rulesOf(found), cmpopts.EquateEmpty()) != "" {
			t.Errorf("%s: %+v", name, found)
		}
	}
}

// tableOf returns the table that entries build from a manifest.
func tableOf(m manifest.Manifest) routing.Table {
	var options []routing.TableOption
	for _, r := range m.Routes() {
		options = append(options, routing.Routes(r.Route))
	}
	for _, s := range m.Services() {
		options = append(options, routing.Services(s.Service))
	}
	if m.RequiresKeys() {
		options = append(options, routing.RequireKeys())
	}
	for _, a := range m.Accounts() {
		for _, k := range a.Keys {
			options = append(options, routing.Keys(a.Account, k.Text))
		}
	}
	return routing.NewTable(m.Version(), options...)
}

// handle returns what an entry does with a request, nothing if it refuses it, and for which account and priority. The latter is
// empty on routes without a key.
func handle(table routing.Table, host, path, key string) (handling, by string) {
	r, found := table.Match(host, path)
	if !found {
		return "", ""
	}
	service, hasService := r.Service(0)
	if !hasService || service == "" {
		return "", ""
	}
	if table.NeedsKey(r) {
		a, held := table.Authenticate(key)
		if !held {
			return "", ""
		}
		by = fmt.Sprint(a.Name(), a.Priority(r))
	}
	s, _ := table.Service(service)
	return fmt.Sprint(service, r.Repeat(), r.Timeout(), r.Attempts(), r.IsResumable(), r.Priority(), s), by
}

// TestDifferencesAgreeWithEntries guards against a difference in the wrong group: for random pairs of versions, it sends requests with
// each host, path and key to the tables of both. Some request must be refused that was served if a difference says so, and only then.
func TestDifferencesAgreeWithEntries(t *testing.T) {
	const seed, rounds = 20261206, 20000
	random := rand.New(rand.NewPCG(seed, 0))
	prefixes := []string{"/", "/a/", "/a/b/", "a/", "/c"}
	hosts := []string{"h", "i", "H"}
	paths := []string{"/x", "/a/x", "/a/b/x", "/c"}
	keys := []string{"", "k1", "k2", "k3"}
	pick := func(list []string) string { return list[random.IntN(len(list))] }
	draw := func(version uint64) manifest.Manifest {
		count := random.IntN(5)
		routes := make([]manifest.Route, 0, count)
		for range count {
			service := []string{"x", "x", "x", "y", ""}[random.IntN(5)]
			routes = append(routes, newRoute(pick([]string{"r", "s"}), pick(hosts), pick(prefixes), routing.Public(random.IntN(3) == 0),
				routing.Timeout(time.Duration(random.IntN(2))), routing.Shares(routing.Share{Service: service, Weight: max(1, random.IntN(3))})))
		}
		m := newManifest(version, routes...)
		m = m.WithServices(m.Services()[:random.IntN(3)]...)
		if random.IntN(2) == 0 {
			m = m.WithServices(manifest.Service{Service: routing.NewService("x", random.IntN(2), routing.Engine{})})
		}
		if random.IntN(4) > 0 {
			accounts := make([]manifest.Account, 0, 2)
			for _, name := range []string{"t", "u"}[:random.IntN(3)] {
				accounts = append(accounts, newAccount(name, random.IntN(2), keys[1:][:random.IntN(4)]...))
			}
			m = m.WithAccounts(manifest.Position{}, accounts...)
		}
		return m
	}
	seen := map[validator.Effect]int{}
	for round := range rounds {
		before, after := draw(1), draw(2)
		was, is := tableOf(before), tableOf(after)
		actual := map[validator.Effect]bool{}
		for _, host := range hosts[:2] {
			for _, path := range paths {
				for _, key := range keys {
					a, before := handle(was, host, path, key)
					b, after := handle(is, host, path, key)
					switch {
					case a != "" && b == "":
						actual[validator.EffectRefused] = true
					case a == "" && b != "":
						actual[validator.EffectServed] = true
					case a != b, before != "" && after != "" && before != after:
						actual[validator.EffectChanged] = true
					}
				}
			}
		}
		differences, _ := validator.Compare(before, after)
		told := map[validator.Effect]bool{}
		for _, d := range differences {
			told[d.Effect] = true
			seen[d.Effect]++
		}
		for _, effect := range validator.Effects()[:3] {
			if actual[effect] != told[effect] {
				t.Errorf("round %d: %q happens %v, is told %v\n%s%s%+v", round, effect, actual[effect], told[effect],
					show(before), show(after), differences)
			}
		}
		if t.Failed() {
			return
		}
	}
	for _, effect := range validator.Effects() {
		if seen[effect] < rounds/100 {
			t.Errorf("%q in %d differences only", effect, seen[effect])
		}
	}
}

func show(m manifest.Manifest) string {
	text := fmt.Sprintln("version", m.Version(), "keys", m.RequiresKeys())
	for _, r := range m.Routes() {
		text += fmt.Sprintf("  %q %s%s public %v %v %v\n",
			r.Route.Name(), r.Route.Host(), r.Route.Prefix(), r.Route.IsPublic(), r.Route.Timeout(), r.Route.Shares())
	}
	for _, a := range m.Accounts() {
		text += fmt.Sprintf("  account %q %v %v\n", a.Account.Name(), *a.Priority, a.Keys)
	}
	return text
}
