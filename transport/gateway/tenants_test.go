package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// callWithKeys calls with a key that a configuration held, with one that none ever held and without a key, and returns the statuses.
func (d *deployment) callWithKeys() [3]int {
	d.t.Helper()
	var statuses [3]int
	for i, authorization := range []string{"Token " + key, "Token key-of-no-version", ""} {
		statuses[i] = d.call(http.MethodGet, "/look/x", "", map[string]string{"Authorization": authorization}).status
	}
	return statuses
}

// tenantVersions are configurations that follow one with a key, and whether requests need a key under them.
var tenantVersions = []struct {
	name     string
	fields   map[string]any
	needsKey bool
}{
	{"empty", map[string]any{"tenants": []any{}}, true},
	{"missing", nil, false},
	{"null", map[string]any{"tenants": nil}, true},
	{"missing again", nil, false},
	{"tenant without keys", map[string]any{"tenants": []any{map[string]any{"name": "account-1", "apiKeys": []any{}}}}, true},
	{"missing once more", nil, false},
	{"tenant without a list", map[string]any{"tenants": []any{map[string]any{"name": "account-1"}}}, true},
}

// TestVersionThatTakesAllKeysAway guards against an entry that lets requests in, with the key that was taken away or with any, after a
// version without a single key, and against one that asks for keys after a version that needs none.
func TestVersionThatTakesAllKeysAway(t *testing.T) {
	d := newDeployment(t)
	if got := d.callWithKeys(); got != [3]int{http.StatusOK, http.StatusUnauthorized, http.StatusUnauthorized} {
		t.Fatalf("statuses with a key in force: %v", got)
	}
	for _, version := range tenantVersions {
		want := http.StatusOK
		if version.needsKey {
			want = http.StatusUnauthorized
		}
		d.configureWith(version.fields)
		began, got := time.Now(), [3]int{}
		for got != [3]int{want, want, want} && time.Since(began) < revoke {
			got = d.callWithKeys()
		}
		if got != [3]int{want, want, want} {
			t.Errorf("%s: statuses %v after %v, want %d", version.name, got, revoke, want)
		}
	}
}

// TestRestartWithoutTheStoreLetsNobodyIn guards against an entry that starts while the store is unreachable, and takes the lack of a
// configuration for one that needs no keys.
func TestRestartWithoutTheStoreLetsNobodyIn(t *testing.T) {
	for _, version := range tenantVersions[:2] {
		t.Run(version.name, func(t *testing.T) {
			d := newDeployment(t)
			d.configureWith(version.fields)
			d.store.SetUnresponsive(true)
			d.restart()
			refused, before := 0, d.runs("desk")
			for began := time.Now(); time.Since(began) < revoke; time.Sleep(20 * time.Millisecond) {
				for _, status := range d.callWithKeys() {
					switch status {
					case http.StatusServiceUnavailable:
						refused++
					case 0:
						// The entry does not listen yet.
					default:
						t.Fatalf("status %d without the store", status)
					}
				}
			}
			if refused == 0 || d.runs("desk") != before {
				t.Errorf("%d requests were refused, and %d ran", refused, d.runs("desk")-before)
			}
			d.store.SetUnresponsive(false)
			want := http.StatusOK
			if version.needsKey {
				want = http.StatusUnauthorized
			}
			d.await("decided by the configuration", func() bool { return d.callWithKeys() == [3]int{want, want, want} })
		})
	}
}

// TestVersionThatCannotBeReadLetsNobodyIn guards against a key that stays in force as the version that takes it away cannot be read: once
// the version before is too old, requests that need a key are refused, also after the store was listed again, until one can be read.
func TestVersionThatCannotBeReadLetsNobodyIn(t *testing.T) {
	for name, replace := range map[string]func(d *deployment){
		"unknown type of route": func(d *deployment) {
			d.store.PutRaw("config", "main", json.RawMessage(`{"version":100,"routes":[{"name":"look","type":"odd"}],"tenants":[]}`))
		},
		"weight that is not whole": func(d *deployment) {
			d.store.PutRaw("config", "main", json.RawMessage(`{"version":100,"routes":[{"type":"safe","split":[{"weight":33.5}]}],"tenants":[]}`))
		},
		"no object": func(d *deployment) { d.store.PutRaw("config", "main", json.RawMessage(`"later"`)) },
		"removed":   func(d *deployment) { d.store.Remove("config", "main") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			// Another object of the kind says nothing of the configuration.
			d.store.PutRaw("config", "spare", json.RawMessage(`"later"`))
			time.Sleep(revoke)
			if got := d.callWithKeys(); got != [3]int{http.StatusOK, http.StatusUnauthorized, http.StatusUnauthorized} {
				t.Fatalf("statuses with a key in force: %v", got)
			}
			replace(d)
			time.Sleep(revoke)
			unavailable := [3]int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable}
			before := d.runs("desk")
			for range 3 {
				if got := d.callWithKeys(); got != unavailable {
					t.Errorf("statuses %v after %v", got, revoke)
				}
				d.store.Compact()
				time.Sleep(revoke / 2)
			}
			if ran := d.runs("desk") - before; ran > 0 {
				t.Errorf("%d requests ran", ran)
			}
			d.version = 200
			d.configure(key)
			d.await("let in again", func() bool { return d.callWithKeys()[0] == http.StatusOK })
		})
	}
}
