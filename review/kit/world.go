package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its site file has them.
const (
	drainBound  = 2 * time.Second
	stableBound = 3 * time.Second
	graceBound  = 8 * time.Second
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// world is one deployment: a store, entries that run as processes of their own, and runners.
type world struct {
	trouble bool
	dir     string
	root    string
	prefix  string
	record  *record
	store   *store
	entries []*entry
	stop    chan struct{}
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// write writes a line without a time.
func (r *record) write(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line)
}

// broken is the exit status of a case, and held and impossible are the others.
const (
	held       = 0
	broken     = 1
	impossible = 2
)

func newWorld(folder string) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, store: newStore(), stop: make(chan struct{}),
		record: &record{file: file, start: time.Now()},
	}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.N(200), 1+rand.N(250))
		if w.isFree() {
			w.record.say("TROUBLE=%t", w.trouble)
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

// isFree reports whether the ports of the deployment are free at its addresses.
func (w *world) isFree() bool {
	for host := 2; host < 60; host++ {
		for _, port := range []int{7340, 8220, 8224, 8227, 9100} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", w.prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s%d:%d", w.prefix, host, port) }

// entry is one entry of the system under test.
type entry struct {
	world   *world
	number  int
	callers string
	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the current process has ended.
	ended   chan struct{}
	over    bool
	termed  time.Time
	endedAt []time.Time
}

// hangUp changes a setting that takes effect at the next start, and sends SIGHUP, as the platform does.
func (e *entry) hangUp() error {
	text, err := os.ReadFile(e.file("conf"))
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), `"slack": 94`, `"slack": 95`, 1)
	if err := os.WriteFile(e.file("conf"), []byte(changed), 0o600); err != nil {
		return err
	}
	e.signal(syscall.SIGHUP)
	return nil
}

const settings = `// Settings of a kingcupstile daemon, filled in by the platform.
{
  "role": "entry",
  "name": "edge-a-%[1]d",
  "centre": "a",
  "region": "r",
  "ip": "%[2]s",
  "store": "%[3]s",
  "callers": "%[2]s:8227",
  "ready": "%[2]s:8220",
  "lookup": "%[2]s:8224",
  "page": "%[2]s:9100",
  "internal": [7340,7355],
  "engine": "",
  "service": "",
  "grace": "8s",
  "revoke": "5000ms",
  "lifetime": "5s",
  "retries": 0.2,
  "slack": 94,
}
`

// startEntries starts a number of entries and waits until all are ready.
func (w *world) startEntries(n int) error {
	for i := range n {
		l, err := net.Listen("tcp", w.address(30+i, 8223))
		if err != nil {
			return err
		}
		w.store.serve(l, i)
		e := &entry{world: w, number: i, callers: w.address(10+i, 8227)}
		text := fmt.Sprintf(settings, i+1, fmt.Sprintf("%s%d", w.prefix, 10+i), w.address(30+i, 8223))
		if err := os.WriteFile(e.file("conf"), []byte(text), 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !e.awaitReady(20 * time.Second) {
			return fmt.Errorf("entry %d is not ready", e.number+1)
		}
	}
	// Heartbeats pass between the entries before traffic starts.
	time.Sleep(time.Second)
	w.record.say("%d entries are ready", n)
	return nil
}

func (e *entry) file(kind string) string {
	return filepath.Join(e.world.dir, fmt.Sprintf("entry-%d.%s", e.number+1, kind))
}

// start starts the process with the command of the deploy file, and again whenever it ends, as the platform does.
func (e *entry) start() error {
	log, err := os.OpenFile(e.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/kingcupstiled", "serve")
	command.Dir = e.world.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPSTILE_NODE_FILE=" + e.file("conf")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.command, e.ended = command, ended
	e.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		e.mu.Lock()
		e.endedAt = append(e.endedAt, time.Now())
		over := e.over
		e.mu.Unlock()
		close(ended)
		if over {
			return
		}
		e.world.record.say("the process of entry %d has ended: %v", e.number+1, err)
		time.Sleep(300 * time.Millisecond)
		e.mu.Lock()
		over = e.over
		e.mu.Unlock()
		if !over {
			_ = e.start()
		}
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.command.Process.Signal(s)
}

func (e *entry) awaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + e.world.address(10+e.number, 8220) + "/kingcupstile/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes that were started.
func (w *world) close() {
	for _, e := range w.entries {
		e.mu.Lock()
		e.over = true
		command, ended := e.command, e.ended
		e.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.record.file.Close()
}

// configure writes a configuration with the given routes and services, and one tenant with one key.
func (w *world) configure(routes, services []map[string]any) {
	w.store.put("config", "main", configuration(7, routes, services,
		[]any{map[string]any{"name": "tenant1", "apiKeys": []string{key}, "priority": 1}}))
}

func configuration(version int, routes, services []map[string]any, tenants []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

const (
	key  = "n2ctnfzs989anu6wsjnb"
	host = "ficu95.example"
)

func streamRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": "/draft/", "type": "streaming", "timeoutMs": 8000, "goalMs": 500,
		"priority": 1, "service": service, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 120,
	}
}

func unsafeRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-order", "host": host, "pathPrefix": "/order/", "type": "unsafe", "timeoutMs": 1000, "goalMs": 100,
		"priority": 2, "service": service, "attempts": 1, "public": false,
	}
}

func safeRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-sheet", "host": host, "pathPrefix": "/sheet/", "type": "safe", "timeoutMs": 1000, "goalMs": 100,
		"priority": 2, "service": service, "attempts": 2, "public": false,
	}
}

// modelService describes runners with a memory of some tokens.
func modelService(name string, memory int) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 268, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 12, "kvCapacity": memory, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
			"read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
		},
	}
}

func deskService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 52, "protocol": "h1", "tls": false}
}
