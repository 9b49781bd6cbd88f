package commands_test

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// startPlatformEntry starts an entry on the users' platform in a process of its own, and returns it and the address for its
// callers. Its one runner answers with a stream of signalLines events, 50 ms apart.
func startPlatformEntry(t *testing.T, output io.Writer) (command *exec.Cmd, address string) {
	t.Helper()
	command, address, _ = startPlatformEntryWith(t, output, nil)
	return command, address
}

// startPlatformEntryWith does the same with more settings, and also returns the store.
func startPlatformEntryWith(t *testing.T, output io.Writer, more map[string]any) (command *exec.Cmd, address string, store *site.Store) {
	t.Helper()
	r := site.NewRunner("pool-a")
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
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	check(t, os.WriteFile(file, settings, 0o600))
	self, err := os.Executable()
	check(t, err)
	command = exec.CommandContext(t.Context(), self)
	command.Args, command.Stderr = []string{"kingcupstiled", "serve", "--settings", file}, output
	check(t, command.Start())
	awaitStatus(t, "http://"+loopback(base+1)+"/kingcupstile/readyz", http.StatusOK)
	return command, loopback(base), store
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
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/draft/x", strings.NewReader("slip"))
	check(t, err)
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", "request-1")
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
