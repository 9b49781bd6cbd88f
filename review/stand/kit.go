//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// The names of one deployment, as those in the examples of the pages.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	host         = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
)

// exitHeld, exitBroken and exitFailed are the exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// world is what one run of a case consists of.
type world struct {
	folder, temporary string
	trouble           bool
	began             time.Time
	store             *site.Store
	storeAddress      string

	mu        sync.Mutex
	record    *os.File
	processes []*process
	listeners []net.Listener
}

// newWorld opens the record in a folder and starts the store.
func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, temporary: temporary, trouble: trouble, began: time.Now(), store: site.NewStore(), record: record}
	address, err := w.serve("127.6.0.1", w.store)
	w.storeAddress = address
	w.note("trouble: %t", trouble)
	return w, err
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen opens a free port at an IP address.
func (w *world) listen(ip string) (net.Listener, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, l)
	w.mu.Unlock()
	return l, nil
}

// serve serves HTTP at a free port of an IP address and returns the address.
func (w *world) serve(ip string, handler http.Handler) (string, error) {
	l, err := w.listen(ip)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String(), nil
}

// freePort returns a port that is free at all of some IP addresses, for TCP and for UDP.
func freePort(ips ...string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		if isFree(port, ips) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all of %v", ips)
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

// process is a daemon that this program started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// start starts a daemon with the command of the deploy file; settings are what the template of the settings gives.
func (w *world) start(name string, settings map[string]any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.temporary, name+".conf")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.temporary, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("target/kingcupstiled", "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPSTILE_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	w.note("process %s started", name)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// close ends all processes that were started, and keeps their logs if REVIEW_LOGS names a folder.
func (w *world) close() {
	w.mu.Lock()
	processes, listeners := w.processes, w.listeners
	w.mu.Unlock()
	for _, p := range processes {
		if !p.hasEnded() {
			p.signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.temporary))
	}
	_ = os.RemoveAll(w.temporary)
	_ = w.record.Close()
}

// entry is an entry daemon with its addresses.
type entry struct {
	*process
	callers, ready, lookup string
	settings               map[string]any
}

// startEntry starts an entry at an IP address; store is the address at which it reaches the store.
func (w *world) startEntry(name, ip, store string, changes map[string]any) (*entry, error) {
	var ports []int
	for range 4 {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	settings := map[string]any{
		"role": "entry", "name": name, "centre": "kgl-a", "region": "kigali", "ip": ip, "store": store,
		"callers": at(0), "ready": at(1), "lookup": at(2), "internal": []int{ports[3], ports[3] + 15},
		"grace": "8s", "revoke": "5000ms", "lifetime": "5s", "retries": 0.2, "slack": 90, "memory": 284,
	}
	for key, value := range changes {
		settings[key] = value
	}
	p, err := w.start(name, settings)
	return &entry{process: p, callers: at(0), ready: at(1), lookup: at(2), settings: settings}, err
}

// awaitReady waits until an entry says that it is ready.
func (e *entry) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/kingcupstile/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s is not ready after %v", e.name, limit)
}

// decode decodes JSON text into a table of its members.
func decode(text string) map[string]any {
	var m map[string]any
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&m); err != nil {
		panic(err)
	}
	return m
}

// configuration returns a configuration like the example of the pages, with a streaming, an unsafe and a safe route.
func configuration(version int) map[string]any {
	m := decode(`{"routes":[
		{"name":"r-stream","host":"ficu95.example","pathPrefix":"/lohu930/","type":"streaming","timeoutMs":8000,"goalMs":500,"priority":1,
		 "service":"huvo11a","attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":120},
		{"name":"r-unsafe","host":"ficu95.example","pathPrefix":"/puxa403/","type":"unsafe","timeoutMs":800,"goalMs":150,"priority":2,
		 "service":"wuno96b","attempts":1,"public":false},
		{"name":"r-safe","host":"ficu95.example","pathPrefix":"/cufi504/","type":"safe","timeoutMs":800,"goalMs":150,"priority":2,
		 "service":"wuno96b","attempts":2,"public":false}],
	"services":[
		{"name":"huvo11a","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":280000,
		 "kvTokenBytes":35136,"linkMbps":180000.0,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,
		 "context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,
		 "loads_at_once":8,"delays":[],"usual":{"prompt":835,"answer":97},"sets":4,"experts":72,"placements":8,"spare":3,
		 "expertMb":2200.0,"expertShare":0.85,"form_ms":600.0}},
		{"name":"wuno96b","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb","anfqasnmgkcuyj8pjbvk"],"priority":1}]}`)
	m["version"] = version
	return m
}

// registration returns a runner's entry in the store.
func registration(service, address string, slots int, state string, born time.Time, seq int) map[string]any {
	return map[string]any{
		"service": service, "addr": address, "zone": "kgl-a", "version": "v1", "slots": slots, "state": state, "coldLeftMs": 0,
		"phase": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": seq,
		"born": born.UnixMilli(),
	}
}
