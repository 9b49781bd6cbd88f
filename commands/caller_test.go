package commands_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupstile/kingcupstile/standin/caller"
)

// stepTimeout bounds how long a script's step may wait.
const stepTimeout = 20 * time.Second

// call sends a request to the script's entry and prints the answer or error: call KEY METHOD PATH BODY [HEADER VALUE].
func call(ts *testscript.TestScript, neg bool, args []string) {
	answer, outcome, err := send(ts, args)
	if neg == (err == nil) {
		ts.Fatalf("outcome %q, error %v", outcome, err)
	}
	if err != nil {
		answer = []byte(err.Error())
	}
	_, err = ts.Stdout().Write(answer)
	ts.Check(err)
}

// await repeats a request until it succeeds or stepTimeout has passed: await KEY METHOD PATH BODY.
func await(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	for {
		_, _, err := send(ts, args)
		if err == nil {
			return
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			ts.Fatalf("%v", errors.Join(err, ctx.Err()))
		}
	}
}

func send(ts *testscript.TestScript, args []string) ([]byte, string, error) {
	base, err := strconv.Atoi(ts.Getenv("BASE"))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var header http.Header
	if len(args) > 4 {
		header = http.Header{args[4]: {strings.Join(args[5:], " ")}}
	}
	target := "http://" + net.JoinHostPort("127.0.0.1", strconv.Itoa(base+1)) + args[2]
	return caller.New(args[0]).Call(ctx, args[1], target, header, []byte(args[3]))
}
