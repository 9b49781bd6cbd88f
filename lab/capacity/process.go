package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind says whether a measurement failed in its setup or while it ran.
type Kind string

// The kinds of errors.
const (
	KindSetup   Kind = "setup"
	KindMeasure Kind = "measure"
)

// Error is the error of a measurement that failed.
type Error = fault.Error[Kind]

// clockTicksPerSecond converts processor time in /proc, which is in clock ticks.
const clockTicksPerSecond = 100

const (
	startLimit   = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// signalGap keeps two signals from being merged into one while the first is pending.
	signalGap = 200 * time.Millisecond
)

// binary is the daemon's executable, built for the measurements, in a temporary folder.
type binary struct{ folder, path string }

// build compiles the daemon into a temporary folder, which the caller removes, also after an error.
func build(ctx context.Context) (binary, error) {
	folder, err := os.MkdirTemp("", "kingcup-capacity")
	if err != nil {
		return binary{}, fault.New("build daemon", KindSetup, err)
	}
	b := binary{folder: folder, path: filepath.Join(folder, "kingcupstiled")}
	const daemon = "github.com/kingcupstile/kingcupstile/cmd/kingcupstiled"
	out, err := exec.CommandContext(ctx, "go", "build", "-o", b.path, daemon).CombinedOutput()
	if err != nil {
		return b, fault.Newf("build daemon", KindSetup, "%v: %s", err, out)
	}
	return b, nil
}

func (b binary) remove() { _ = os.RemoveAll(b.folder) }

// process is a running daemon with the addresses of its listeners for callers, for peers and for its status page.
type process struct {
	name    string
	callers string
	peers   string
	page    string
	command *exec.Cmd
}

// start runs a daemon with the given settings on free ports of loopback and waits until its status page answers. It
// adds to the settings.
func (b binary) start(ctx context.Context, settings map[string]string) (*process, error) {
	p := &process{name: settings["name"], callers: freeAddress(ctx), peers: freeAddress(ctx), page: freeAddress(ctx)}
	settings["peers"], settings["page"], settings["level"] = p.peers, p.page, "error"
	settings["centre"], settings["grace"] = "kgl-a", "2s"
	if settings["role"] == "entry" {
		settings["callers"] = p.callers
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, fault.New("start daemon", KindSetup, err)
	}
	file := filepath.Join(b.folder, p.name+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, fault.New("start daemon", KindSetup, err)
	}
	p.command = exec.CommandContext(ctx, b.path, file)
	p.command.Cancel = func() error { return p.command.Process.Signal(syscall.SIGTERM) }
	if err := p.command.Start(); err != nil {
		return nil, fault.New("start daemon", KindSetup, err)
	}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err := p.read(ctx, "/health"); err == nil {
			return p, nil
		}
	}
	p.stop()
	return nil, fault.Newf("start daemon", KindSetup, "%s did not serve its status page within the start limit", p.name)
}

// signal asks the daemon to end; after a second signal it no longer waits for requests in flight.
func (p *process) signal() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// stop ends the daemon and waits until it has ended.
func (p *process) stop() {
	p.signal()
	_ = p.command.Wait()
}

// processorSeconds returns the processor time that the daemon has used, 0 if it cannot be read.
func (p *process) processorSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the daemon's resident memory, 0 if it cannot be read.
func (p *process) residentBytes() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes * 1024
		}
	}
	return 0
}

// read returns the body of a path of the daemon's status page; the status code is not checked.
func (p *process) read(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.page+path, nil)
	if err != nil {
		return nil, fault.New("read page", KindMeasure, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.New("read page", KindMeasure, err)
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// metric returns a metric of the daemon, 0 if it is missing.
func (p *process) metric(ctx context.Context, name string) float64 {
	text, err := p.read(ctx, "/metrics")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			number, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return number
		}
	}
	return 0
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(ctx context.Context) string {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
