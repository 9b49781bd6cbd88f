package commands_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupstile/kingcupstile/commands"
)

// retryPause is the time between two tries of a script's step.
const retryPause = 100 * time.Millisecond

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcupstile":  func() { exit(commands.Client(os.Stdout).Run(context.Background(), os.Args)) },
		"kingcupstiled": func() { exit(commands.Daemon(os.Stderr).Run(context.Background(), os.Args)) },
	})
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(commands.ExitCode(err))
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			base, reserved, err := freeBase()
			if err == nil {
				e.Defer(func() { _ = reserved.Close() })
			}
			e.Setenv("BASE", strconv.Itoa(base))
			e.Setenv("KINGCUPSTILE_PLATFORM", loopback(base))
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"rebase": rebase,
			"call":   call,
			"await":  await,
			"retry":  retry,
			"code":   code,
		},
	})
}

// freeBase finds 30 consecutive free ports and listens on the port after them, so that no other test run takes them.
func freeBase() (int, net.Listener, error) {
	for base := 10000; base < 30000; base += 50 {
		reserved, err := net.Listen("tcp", loopback(base+30))
		if err != nil {
			continue
		}
		free := true
		for port := base; port < base+30 && free; port++ {
			l, err := net.Listen("tcp", loopback(port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, reserved, nil
		}
		_ = reserved.Close()
	}
	return 0, nil, fmt.Errorf("no 30 consecutive ports are free between 10000 and 30000")
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// rebase replaces the 30 ports from 7400 in files by the script's own ports.
func rebase(ts *testscript.TestScript, _ bool, files []string) {
	base, err := strconv.Atoi(ts.Getenv("BASE"))
	ts.Check(err)
	for _, file := range files {
		text := ts.ReadFile(file)
		for offset := range 30 {
			text = strings.ReplaceAll(text, fmt.Sprintf("127.0.0.1:%d", 7400+offset), fmt.Sprintf("127.0.0.1:%d", base+offset))
		}
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// code runs a program and fails unless it ends with the exit code that is the first argument. Its output is left in stdout and stderr.
func code(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// retry runs a program until it succeeds or stepTimeout has passed.
func retry(ts *testscript.TestScript, _ bool, args []string) {
	var err error
	for range int(stepTimeout / retryPause) {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
		time.Sleep(retryPause)
	}
	ts.Check(err)
}
