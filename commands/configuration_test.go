package commands_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/commands"
	"github.com/kingcupstile/kingcupstile/standin/site"
)

const smallConfiguration = `{"version":%d,"routes":[{"name":"a","host":"h","pathPrefix":%q,"type":"safe","service":"x"}],
"services":[{"name":"x"}]}`

// TestCheckAgainstStore guards against a comparison with another object than the configuration in force, a store that cannot be asked and
// is taken for an empty one, and calls that nobody asked for, as each costs money.
func TestCheckAgainstStore(t *testing.T) {
	s := site.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	file := filepath.Join(t.TempDir(), "next.json")
	check(t, os.WriteFile(file, fmt.Appendf(nil, smallConfiguration, 8, "/a/"), 0o600))
	run := func(arguments ...string) (string, int) {
		var out bytes.Buffer
		err := commands.Client(&out).Run(t.Context(), append([]string{"kingcupstile", "check", file}, arguments...))
		return out.String(), commands.ExitCode(err)
	}
	expect := func(what string, code int, wanted string) {
		t.Helper()
		if out, got := run("--store", server.Listener.Addr().String()); got != code || !strings.Contains(out, wanted) {
			t.Errorf("%s: exit code %d, want %d and %q:\n%s", what, got, code, wanted, out)
		}
	}
	if out, code := run(); code != 0 || s.Calls() != 0 {
		t.Errorf("without the flag: exit code %d, %d calls:\n%s", code, s.Calls(), out)
	}
	s.PutRaw("config", "other", json.RawMessage(fmt.Sprintf(smallConfiguration, 9, "/b/")))
	expect("empty store", 0, "holds no configuration to compare with")
	s.PutRaw("config", "main", json.RawMessage(fmt.Sprintf(smallConfiguration, 7, "/a/")))
	expect("same content", 0, "no differences")
	before := s.Calls()
	s.PutRaw("config", "main", json.RawMessage(fmt.Sprintf(smallConfiguration, 6, "/b/")))
	expect("other content", 1, "warning: route \"a\" for h/b/ removed")
	if calls := s.Calls() - before; calls != 1 {
		t.Errorf("%d calls for a check", calls)
	}
	s.PutRaw("config", "main", json.RawMessage(fmt.Sprintf(smallConfiguration, 9, "/a/")))
	expect("later version", 2, "version 8 is lower than version 9 in force")
	s.PutRaw("config", "main", json.RawMessage(`{"version":"9"}`))
	expect("undecodable", 2, "")
	s.SetErrorStatus(503)
	expect("store without an answer", 2, "")
}

// checkTime is how long a check of 100,000 routes may take.
const checkTime = 2 * time.Second

// TestCheckOfManyRoutesIsFast guards against a check whose time grows faster than the number of routes. It runs the built command, as
// the race detector makes all of it slower, and takes the fastest of three runs, as other tests use the processors too.
func TestCheckOfManyRoutesIsFast(t *testing.T) {
	const count, hosts = 100_000, 3
	directory := t.TempDir()
	binary := filepath.Join(directory, "kingcupstile")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/kingcupstile").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	write := func(name string, version, timeout int) string {
		routes := make([]map[string]any, count)
		for i := range routes {
			routes[i] = map[string]any{
				"name": fmt.Sprint("route-", i), "host": fmt.Sprintf("h%d.example", i%hosts), "pathPrefix": fmt.Sprintf("/p/%d/", i),
				"type": "streaming", "timeoutMs": 8000, "goalMs": 400, "priority": i % 10, "service": fmt.Sprint("s", i%9), "attempts": 2,
				"public": false, "sticky": true, "resumable": true, "gapTargetMs": 120,
			}
		}
		routes[count-1]["timeoutMs"] = timeout
		services := make([]map[string]any, 9)
		for i := range services {
			services[i] = map[string]any{"name": fmt.Sprint("s", i)}
		}
		text, err := json.MarshalIndent(map[string]any{"version": version, "routes": routes, "services": services}, "", "\t")
		check(t, err)
		file := filepath.Join(directory, name)
		check(t, os.WriteFile(file, text, 0o600))
		return file
	}
	before, after := write("before.json", 7, 8000), write("after.json", 8, 399)
	for name, arguments := range map[string][]string{"alone": {after}, "against another version": {"--against", before, after}} {
		fastest := time.Hour
		for range 3 {
			started := time.Now()
			out, err := exec.CommandContext(t.Context(), binary, append([]string{"check"}, arguments...)...).Output()
			fastest = min(fastest, time.Since(started))
			var exit *exec.ExitError
			// The text is larger than what entries read.
			if !errors.As(err, &exit) || exit.ExitCode() != 2 || !bytes.Contains(out, []byte("its timeout of 399ms is under its goal of 400ms")) ||
				!bytes.Contains(out, []byte("100000 routes, 9 services, 0 accounts: 1 error, 1 warning")) ||
				bytes.Contains(out, []byte(`route "route-99999": 8s -> 399ms`)) != (name != "alone") {
				t.Fatalf("%s: %v: %.2000s", name, err, out)
			}
		}
		if t.Logf("%s: %v", name, fastest); fastest > checkTime {
			t.Errorf("%s: %v, more than %v", name, fastest, checkTime)
		}
	}
}
