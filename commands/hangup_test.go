package commands_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// startPlatformEntry starts an entry on the users' platform in a process of its own, and returns it and the address for its
// callers. Its one runner answers with a stream of signalLines events, 50 ms apart.
func startPlatformEntry(t *testing.T, output io.Writer) (command *exec.Cmd, address string) {
	t.Helper()
	command, address, _, _ = startPlatformEntryBefore(t, site.NewRunner("pool-a"), output, nil)
	return command, address
}

// startPlatformEntryBefore does as startPlatformEntry with a runner named pool-a and more settings, and also returns the file with the
// settings and the store.
func startPlatformEntryBefore(
	t *testing.T, r *site.Runner, output io.Writer, more map[string]any,
) (command *exec.Cmd, address, file string, store *site.Store) {
	t.Helper()
	r.Events, r.EventInterval = signalLines, 50*time.Millisecond
	engine := httptest.NewServer(r)
	store = site.NewStore()
	t.Cleanup(engine.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("servers", "pool-a", map[string]any{
		"service": "pool", "addr": engine.Listener.Addr().String(), "zone": "z", "slots": 4, "state": "ready",
	})
	store.Put("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "pool"}},
		"routes": []any{map[string]any{
			"name": "draft", "host": "h.example", "pathPrefix": "/draft/", "type": "streaming", "service": "pool", "attempts": 1,
			"timeoutMs": 10000, "goalMs": 1000,
		}},
	})
	base, reserved, err := freeBase()
	check(t, err)
	t.Cleanup(func() { _ = reserved.Close() })
	values := map[string]any{
		"role": "entry", "name": "entry-1", "centre": "z", "region": "r", "ip": "127.0.0.1", "store": server.Listener.Addr().String(),
		"callers": loopback(base), "ready": loopback(base + 1), "lookup": loopback(base + 2), "internal": []int{base + 3},
		"grace": "8s", "retries": 0.2, "slack": 10,
	}
	maps.Copy(values, more)
	settings, err := json.Marshal(values)
	check(t, err)
	file = filepath.Join(t.TempDir(), "settings.jsonc")
	check(t, os.WriteFile(file, settings, 0o600))
	self, err := os.Executable()
	check(t, err)
	command = exec.CommandContext(t.Context(), self)
	command.Args, command.Stderr = []string{"kingcupstiled", "serve", "--settings", file}, output
	check(t, command.Start())
	awaitStatus(t, "http://"+loopback(base+1)+"/kingcupstile/readyz", http.StatusOK)
	return command, loopback(base), file, store
}

func awaitStatus(t *testing.T, url string, want int) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(retryPause) {
		if r, err := http.Get(url); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == want {
				return
			}
		}
	}
	t.Fatalf("%s does not answer with status %d", url, want)
}

// draftAtEntry requests a stream, calls onFirst at its first byte and returns how many events came.
func draftAtEntry(t *testing.T, address string, onFirst func()) (int, error) {
	t.Helper()
	return draftWith(t.Context(), address, "slip", onFirst)
}

// draftWith does as draftAtEntry for a request with some body; it may be called by any goroutine.
func draftWith(ctx context.Context, address, body string, onFirst func()) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/draft/x", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", "request-"+body)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(a.Body, first); err != nil {
		return 0, err
	}
	onFirst()
	text, err := io.ReadAll(a.Body)
	return strings.Count(string(text), "data: "), err
}

// TestHangupCutsNoRequest guards against daemons that SIGHUP ends in the middle of answers, above all while they drain.
func TestHangupCutsNoRequest(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"while it serves":       {syscall.SIGHUP},
		"while it drains":       {syscall.SIGTERM, syscall.SIGHUP},
		"twice while it drains": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	} {
		deliver := func(t *testing.T, command *exec.Cmd) {
			t.Helper()
			for _, s := range signals {
				check(t, command.Process.Signal(s))
				time.Sleep(retryPause)
			}
		}
		end := func(t *testing.T, command *exec.Cmd) {
			t.Helper()
			if !slices.Contains(signals, syscall.SIGTERM) {
				check(t, command.Process.Signal(syscall.SIGTERM))
			}
			check(t, command.Wait())
		}
		t.Run("entry on the platform "+name, func(t *testing.T) {
			command, address := startPlatformEntry(t, nil)
			events, err := draftAtEntry(t, address, func() { deliver(t, command) })
			if err != nil || events != signalLines {
				t.Errorf("%d events, %v", events, err)
			}
			end(t, command)
		})
		t.Run("endpoint "+name, func(t *testing.T) {
			s := startEndpoint(t, 50*time.Millisecond, "1m")
			events, err := s.draft(t.Context(), func() { deliver(t, s.command) })
			if err != nil || events != signalLines+1 {
				t.Errorf("%d events, %v", events, err)
			}
			end(t, s.command)
		})
	}
}

// TestHangupInAPauseCutsNoStream guards against entries that cut a stream which its runner preempts, for the pause or for a SIGHUP
// in it after a change of the settings, while streams of other requests advance.
func TestHangupInAPauseCutsNoStream(t *testing.T) {
	const pause = 1700 * time.Millisecond
	for name, signals := range map[string][]syscall.Signal{
		"serving":  {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
		"draining": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			r := site.NewRunner("pool-a")
			r.PauseOftenOnBody("paused", pause, 1)
			command, address, file, _ := startPlatformEntryBefore(t, r, nil, nil)
			settings, err := os.ReadFile(file)
			check(t, err)
			others, stop := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			for n := range 2 {
				wait.Go(func() {
					for others.Err() == nil {
						_, _ = draftWith(others, address, fmt.Sprint("other-", n), func() {})
					}
				})
			}
			events, err := draftWith(t.Context(), address, "paused", func() {
				// The pause begins 50 ms after the first event, and the signals come at 400, 800 and 1,200 ms of it.
				time.Sleep(50 * time.Millisecond)
				for n, s := range signals {
					time.Sleep(400 * time.Millisecond)
					changed := strings.Replace(string(settings), `"slack":10`, fmt.Sprintf(`"slack":%d`, 11+n), 1)
					check(t, os.WriteFile(file, []byte(changed), 0o600))
					check(t, command.Process.Signal(s))
				}
			})
			if err != nil || events != signalLines {
				t.Errorf("%d events, %v", events, err)
			}
			stop()
			wait.Wait()
			if !slices.Contains(signals, syscall.SIGTERM) {
				check(t, command.Process.Signal(syscall.SIGTERM))
			}
			check(t, command.Wait())
		})
	}
}

// TestClosedOutputEndsNoDaemon guards against daemons that SIGPIPE ends once nobody reads their log.
func TestClosedOutputEndsNoDaemon(t *testing.T) {
	reader, writer, err := os.Pipe()
	check(t, err)
	command, address := startPlatformEntry(t, writer)
	check(t, errors.Join(reader.Close(), writer.Close()))
	for range 3 {
		events, err := draftAtEntry(t, address, func() { check(t, command.Process.Signal(syscall.SIGHUP)) })
		if err != nil || events != signalLines {
			t.Errorf("%d events, %v", events, err)
		}
	}
	check(t, command.Process.Signal(syscall.SIGTERM))
	check(t, command.Wait())
}
