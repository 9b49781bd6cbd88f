package commands_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

const (
	// memoryLimit is the memory in MB of the smallest VMs for entries.
	memoryLimit = 184
	// floodTime is how long callers send what makes an entry keep much.
	floodTime = 4 * time.Second
	floods    = 60
	uploads   = 40
	// uploadBytes is the largest body that the configuration allows.
	uploadBytes = 4 << 20
)

// serveEndless starts a runner that answers every request with a beginning and then with the same bytes without end.
func serveEndless(t *testing.T, beginning, rest string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	t.Cleanup(func() { _ = l.Close() })
	block := bytes.Repeat([]byte(rest), 1+(64<<10)/max(1, len(rest)))
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = connection.Read(make([]byte, 64<<10))
				_, err := io.WriteString(connection, beginning)
				for err == nil {
					_, err = connection.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startBuiltEntry builds the daemon without the race detector, whose memory is not the daemon's, and starts an entry of it before
// a store.
func startBuiltEntry(t *testing.T, store string) (command *exec.Cmd, address string) {
	t.Helper()
	directory := t.TempDir()
	binary := filepath.Join(directory, "kingcupstiled")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/kingcupstiled")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	base, reserved, err := freeBase()
	check(t, err)
	t.Cleanup(func() { _ = reserved.Close() })
	settings, err := json.Marshal(map[string]any{
		"role": "entry", "name": "entry-1", "centre": "z", "region": "r", "ip": "127.0.0.1", "store": store,
		"callers": loopback(base), "ready": loopback(base + 1), "lookup": loopback(base + 2), "internal": []int{base + 3},
		"grace": "2s", "retries": 0.2, "slack": 90, "level": "error", "memory": memoryLimit,
	})
	check(t, err)
	file := filepath.Join(directory, "settings.jsonc")
	check(t, os.WriteFile(file, settings, 0o600))
	command = exec.CommandContext(t.Context(), binary, "serve", "--settings", file)
	check(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	awaitStatus(t, "http://"+loopback(base+1)+"/kingcupstile/readyz", http.StatusOK)
	return command, loopback(base)
}

// peakMemory returns the most memory in MB that a process has used.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	check(t, err)
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if found == nil {
		t.Fatal("the process has ended")
	}
	kilobytes, err := strconv.Atoi(string(found[1]))
	check(t, err)
	return kilobytes >> 10
}

// TestBytesWithoutEndLeaveOthersServed guards against runners and callers that send more than an entry can keep: it must stay within
// its memory, and serve requests of the usual size.
func TestBytesWithoutEndLeaveOthersServed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n"
	store := site.NewStore()
	for name, r := range map[string]struct{ beginning, rest string }{
		"head":    {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers": {"HTTP/1.1 200 OK\r\n", "X-Other: 1\r\n"},
		"body":    {head + "\r\n", "x"},
		"body-2":  {head + "\r\n", "x"},
		"length":  {head + "Content-Length: 16000000\r\n\r\n", "x"},
		"chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		"event":   {head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
		"lines":   {head + "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"},
		"comment": {head + "Content-Type: text/event-stream\r\n\r\n", ": x\n"},
	} {
		store.Put("servers", name, map[string]any{
			"service": "pool", "addr": serveEndless(t, r.beginning, r.rest), "zone": "z", "slots": 100, "state": "ready",
		})
	}
	mute := site.NewRunner("mute")
	mute.SetFault(site.FaultNoAnswer)
	for name, r := range map[string]*site.Runner{"sound": site.NewRunner("sound"), "mute": mute} {
		server := httptest.NewServer(r)
		t.Cleanup(server.Close)
		store.Put("servers", name, map[string]any{
			"service": name, "addr": server.Listener.Addr().String(), "zone": "z", "slots": 100, "state": "ready",
		})
	}
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": service + kind, "host": "h.example", "pathPrefix": prefix, "type": kind, "service": service, "attempts": 2,
			"timeoutMs": 2000, "goalMs": 1000, "resumable": kind == "streaming", "gapTargetMs": 500,
		}
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "limits": map[string]any{"maxBodyBytes": uploadBytes},
		"services": []any{map[string]any{"name": "pool"}, map[string]any{"name": "sound"}, map[string]any{"name": "mute"}},
		"routes": []any{
			route("/look/", "safe", "pool"), route("/draft/", "streaming", "pool"), route("/file/", "unsafe", "mute"),
			route("/sound/", "safe", "sound"),
		},
	})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	command, address := startBuiltEntry(t, server.Listener.Addr().String())

	end := time.Now().Add(floodTime)
	var numbers atomic.Int64
	call := func(path string, body []byte) (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		r.Host, r.Close = "h.example", true
		r.Header.Set("X-Request-Id", fmt.Sprint("r-", numbers.Add(1)))
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err
		}
		defer func() { _ = a.Body.Close() }()
		_, err = io.Copy(io.Discard, a.Body)
		return a.StatusCode, err
	}
	var callers sync.WaitGroup
	flood := func(n int, path string, body []byte) {
		for range n {
			callers.Go(func() {
				for time.Now().Before(end) {
					_, _ = call(path, body)
				}
			})
		}
	}
	flood(floods/2, "/look/x", nil)
	flood(floods/2, "/draft/x", nil)
	flood(uploads, "/file/x", make([]byte, uploadBytes))
	served := 0
	for time.Now().Before(end) {
		if status, err := call("/sound/x", []byte("slip")); err != nil || status != http.StatusOK {
			t.Errorf("a request of the usual size: status %d, %v", status, err)
			break
		}
		served++
	}
	callers.Wait()
	peak := peakMemory(t, command.Process.Pid)
	t.Logf("%d requests of the usual size served, %d MB at the peak", served, peak)
	if peak > memoryLimit {
		t.Errorf("%d MB, more than the process may use", peak)
	}
}
