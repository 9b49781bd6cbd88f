package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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

// process supervises one entry daemon: it restarts the daemon whenever it exits, until close.
type process struct {
	name, callersAddress, lookupAddress string
	binary, settingsPath                string
	log                                 *os.File
	// store relays the connections between the entry and the store.
	store *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	starts  []time.Time
	closed  bool
	ended   chan struct{}
}

// start writes the settings of an entry and starts supervising it.
func start(ctx context.Context, number int, binary, folder, storeAddress string) (*process, error) {
	proxy, err := relay.New(storeAddress)
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	p := &process{name: fmt.Sprint("entry-", number), binary: binary, store: proxy, ended: make(chan struct{})}
	ip := fmt.Sprintf("127.0.0.%d", 10+number)
	addresses, err := freeAddresses(ctx, ip, 4)
	if err != nil {
		return nil, err
	}
	p.callersAddress, p.lookupAddress = addresses[0], addresses[1]
	_, internal, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	port, err := strconv.Atoi(internal)
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	text, err := json.Marshal(map[string]any{
		"role": "entry", "name": p.name, "centre": "z", "region": "r", "ip": ip, "store": proxy.Address(),
		"callers": p.callersAddress, "lookup": p.lookupAddress, "ready": addresses[2], "internal": []int{port, port + 1},
		"grace": gracePeriod.String(), "revoke": revocationLimit.String(), "retries": 0.2, "slack": 90, "level": "debug",
	})
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	p.settingsPath = filepath.Join(folder, p.name+".jsonc")
	if err := os.WriteFile(p.settingsPath, text, 0o600); err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	if p.log, err = os.Create(filepath.Join(folder, p.name+".log")); err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	go p.run()
	return p, nil
}

// run starts the daemon, and restarts it restartDelay after each exit.
func (p *process) run() {
	defer close(p.ended)
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		command := exec.Command(p.binary, "serve", "--settings", p.settingsPath) //nolint:noctx // it ends by signals
		command.Stdout, command.Stderr = p.log, p.log
		err := command.Start()
		p.command, p.starts = command, append(p.starts, time.Now())
		p.mu.Unlock()
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(restartDelay)
	}
}

// startTimes returns when the daemon was started, in order.
func (p *process) startTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.starts)
}

// restartDelay is the time between the exit of an entry and its next start.
const restartDelay = 150 * time.Millisecond

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// close kills the daemon, even one that SIGSTOP has paused, and does not restart it.
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
