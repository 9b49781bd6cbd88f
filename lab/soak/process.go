package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Build compiles the daemon into a folder and returns its path.
func Build(ctx context.Context, folder string) (string, error) {
	path := filepath.Join(folder, "kingcupstiled")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/kingcupstile/kingcupstile/cmd/kingcupstiled").CombinedOutput()
	if err != nil {
		return "", fault.Newf("build daemon", KindSetup, "%v: %s", err, out)
	}
	return path, nil
}

// process is one entry, started anew whenever it ends until it is closed.
type process struct {
	name, callers, lookup string
	binary, settings      string
	log                   *os.File
	// store passes the entry's connections to the store on.
	store *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	closed  bool
	ended   chan struct{}
}

// start writes an entry's settings, starts it, and keeps it running.
func start(ctx context.Context, number int, binary, folder, store string) (*process, error) {
	passes, err := relay.New(store)
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	p := &process{name: fmt.Sprint("entry-", number), binary: binary, store: passes, ended: make(chan struct{})}
	ip := fmt.Sprintf("127.0.0.%d", 10+number)
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = free(ctx, ip); err != nil {
			return nil, err
		}
	}
	p.callers, p.lookup = addresses[0], addresses[1]
	_, internal, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	port, err := strconv.Atoi(internal)
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	text, err := json.Marshal(map[string]any{
		"role": "entry", "name": p.name, "centre": "z", "region": "r", "ip": ip, "store": passes.Address(),
		"callers": p.callers, "lookup": p.lookup, "ready": addresses[2], "internal": []int{port, port + 1},
		"grace": grace.String(), "revoke": revoke.String(), "retries": 0.2, "slack": 90, "level": "debug",
	})
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	p.settings = filepath.Join(folder, p.name+".jsonc")
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	if p.log, err = os.Create(filepath.Join(folder, p.name+".log")); err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	go p.run()
	return p, nil
}

// run starts the process again a little after each end.
func (p *process) run() {
	defer close(p.ended)
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		command := exec.Command(p.binary, "serve", "--settings", p.settings) //nolint:noctx // it ends by signals
		command.Stdout, command.Stderr = p.log, p.log
		err := command.Start()
		p.command = command
		p.mu.Unlock()
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(restartPause)
	}
}

// restartPause is the time between the end of an entry and its next start.
const restartPause = 150 * time.Millisecond

// signal sends a signal to the process as it runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.store.Close()
	_ = p.log.Close()
}
