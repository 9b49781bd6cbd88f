package commands_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
	"github.com/kingcupstile/kingcupstile/standin/fleet"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	signalKey   = "signal-key"
	signalLines = 20
)

// endpointProcess is an endpoint in a process of its own, behind an entry in the test's process.
type endpointProcess struct {
	entry   string
	command *exec.Cmd
}

func startEndpoint(t *testing.T, pace time.Duration, grace string) endpointProcess {
	t.Helper()
	f, err := fleet.New()
	check(t, err)
	t.Cleanup(func() { _ = f.Close() })
	engineAddress, err := f.Serve(engine.New(engine.NewGroup(1), engine.LineInterval(pace)).Handler())
	check(t, err)
	entry, err := f.StartEntry("entry-1", "kgl-a")
	check(t, err)
	settings, err := json.Marshal(map[string]string{
		"role": "endpoint", "name": "draft-1", "centre": "kgl-a", "platform": f.PlatformAddress(),
		"peers": "127.0.0.1:0", "engine": engineAddress, "pool": "drafts", "grace": grace,
	})
	check(t, err)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	check(t, os.WriteFile(file, settings, 0o600))
	self, err := os.Executable()
	check(t, err)
	command := exec.CommandContext(t.Context(), self)
	command.Args = []string{"kingcupstiled", file}
	logs, err := command.StderrPipe()
	check(t, err)
	check(t, command.Start())
	peers := waitForPeers(t, logs)
	f.Store().PutVM(roster.NewVM("draft-1", roster.RoleEndpoint, roster.Centre("kgl-a"), roster.Pool("drafts"), roster.PeerAddress(peers)))
	_, err = publisher.New(f.Store(), translator.CatalogCodec{}).Publish(t.Context(), publisher.Change{
		Services: []catalog.Service{catalog.NewService("drafts",
			catalog.ServedBy(catalog.ModeModel, "drafts"), catalog.Timeout(time.Minute),
			catalog.Grants(catalog.NewGrant("amagambo", 0, 0)))},
		Accounts: []catalog.Account{catalog.NewAccount("amagambo", "test", caller.Hash(signalKey))},
	})
	check(t, err)
	for range int(stepTimeout / retryPause) {
		if _, err = caller.New(signalKey).Ticket(t.Context(), entry.Callers, "drafts"); err == nil {
			return endpointProcess{entry: entry.Callers, command: command}
		}
		time.Sleep(retryPause)
	}
	t.Fatal(err)
	return endpointProcess{}
}

// draft streams a draft, calls onFirst at the first event and returns how many events came.
func (p endpointProcess) draft(ctx context.Context, onFirst func()) (int, error) {
	events := 0
	body := []byte(`{"slip":"inzu","lines":20}`)
	err := caller.New(signalKey).Stream(ctx, "http://"+p.entry+"/drafts/v1/drafts", nil, body, func(caller.Event) bool {
		if events == 0 {
			onFirst()
		}
		events++
		return true
	})
	return events, err
}

func (p endpointProcess) terminate(t *testing.T) {
	t.Helper()
	check(t, p.command.Process.Signal(syscall.SIGTERM))
}

func TestFirstSignalLetsRequestsFinish(t *testing.T) {
	s := startEndpoint(t, 50*time.Millisecond, "1m")
	events, err := s.draft(t.Context(), func() { s.terminate(t) })
	if err != nil || events != signalLines+1 {
		t.Errorf("%d events, %v", events, err)
	}
	if err := s.command.Wait(); err != nil {
		t.Errorf("the endpoint ended with %v", err)
	}
}

func TestSecondSignalOrEndOfGraceEndsTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		grace   string
		signals int
	}{
		"second signal": {"10m", 2},
		"grace":         {"1s", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := startEndpoint(t, time.Second, test.grace)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			begun := make(chan struct{})
			go func() { _, _ = s.draft(ctx, func() { close(begun) }) }()
			<-begun
			s.terminate(t)
			for range test.signals - 1 {
				time.Sleep(retryPause)
				s.terminate(t)
			}
			var exit *exec.ExitError
			if err := s.command.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("the endpoint ended with %v, want status 1 as a request was cut", err)
			}
		})
	}
}

// waitForPeers returns the address for other daemons that a starting daemon logs, and discards the rest of its logs.
func waitForPeers(t *testing.T, logs io.Reader) string {
	t.Helper()
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		var line struct{ Peers string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Peers != "" {
			go func() { _, _ = io.Copy(io.Discard, logs) }()
			return line.Peers
		}
		t.Log(lines.Text())
	}
	t.Fatalf("the daemon ended its logs without an address for other daemons: %v", lines.Err())
	return ""
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
