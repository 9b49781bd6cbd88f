package dialer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/answerer"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

const silence = 200 * time.Millisecond

// counted is an engine that counts the attempts that it runs.
type counted struct{ runs atomic.Int32 }

func (c *counted) Run(_ context.Context, _ attempt.Attempt, emit func(attempt.Frame)) error {
	c.runs.Add(1)
	emit(attempt.NewFrame(0, attempt.Status(http.StatusOK, nil)))
	return nil
}

// served returns the address of an endpoint process of incarnation "first", and its engine.
func served(t *testing.T) (string, *counted) {
	t.Helper()
	runner := &counted{}
	a := answerer.New("first", runner)
	go a.Run(t.Context())
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), runner
}

func newAttempt(request string, incarnation attempt.Incarnation, options ...attempt.Option) attempt.Attempt {
	later := time.Now().Add(time.Minute)
	options = append([]attempt.Option{
		attempt.To("desk-1", incarnation), attempt.Expiry(later), attempt.Deadline(later), attempt.HTTP("POST", "/", nil, []byte("order")),
	}, options...)
	return attempt.New(request, options...)
}

func TestRunSaysWhatWasWritten(t *testing.T) {
	address, _ := served(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 1))
		panic(http.ErrAbortHandler)
	}))
	defer cut.Close()
	again := attempt.Repeatable(true)
	for name, test := range map[string]struct {
		address string
		attempt attempt.Attempt
		want    kingcupstile.Kind
	}{
		"nobody listens":                    {refusing.Addr().String(), newAttempt("r1", "first"), kingcupstile.KindUnavailable},
		"nobody answers":                    {silent.Addr().String(), newAttempt("r1", "first"), kingcupstile.KindUnavailable},
		"nobody answers, repeatable":        {silent.Addr().String(), newAttempt("r1", "first", again), kingcupstile.KindUncertain},
		"cut while it is written":           {cut.Listener.Addr().String(), newAttempt("r1", "first"), kingcupstile.KindUncertain},
		"another incarnation":               {address, newAttempt("r2", "second"), kingcupstile.KindUnavailable},
		"another incarnation, under a key":  {address, newAttempt("r3", "second", attempt.Key("slip-7")), ""},
		"the incarnation that it is for":    {address, newAttempt("r4", "first"), ""},
		"an endpoint that nobody speaks of": {"", newAttempt("r5", "first"), kingcupstile.KindUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			lookup := func(string) (string, bool) { return test.address, test.address != "" }
			stream, err := dialer.New(lookup, dialer.ReceiveTimeout(silence)).Run(t.Context(), test.attempt)
			if got := fault.KindOf[kingcupstile.Kind](err); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if err == nil {
				_ = stream.Close()
			}
		})
	}
}

// TestStaleConnectionsRunNothingTwice sends attempts on pooled connections that went silent: each must fail as not
// written, so that it can be sent again without running twice.
func TestStaleConnectionsRunNothingTwice(t *testing.T) {
	address, runner := served(t)
	r, err := relay.New(address)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	d := dialer.New(func(string) (string, bool) { return r.Address(), true }, dialer.ReceiveTimeout(silence))
	answer := func(at attempt.Attempt) error {
		stream, err := d.Run(t.Context(), at)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for {
			f, err := stream.Next(t.Context())
			if err != nil || f.IsLast() {
				return err
			}
		}
	}
	if err := answer(newAttempt("r1", "first")); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		at := newAttempt("s"+string(rune('0'+i)), "first")
		before := runner.runs.Load()
		if r.Blackhole() == 0 {
			t.Fatal("no connection was pooled")
		}
		begun := time.Now()
		err := answer(at)
		if kind := fault.KindOf[kingcupstile.Kind](err); kind != kingcupstile.KindUnavailable || time.Since(begun) > 3*silence {
			t.Errorf("on a silent connection: %v after %s", err, time.Since(begun))
		}
		if runs := runner.runs.Load() - before; runs != 0 {
			t.Errorf("ran %d times when nothing was written", runs)
		}
		if err := answer(at); err != nil || runner.runs.Load() != before+1 {
			t.Errorf("sent again: %v, ran %d times", err, runner.runs.Load()-before)
		}
	}
}
