package storer_test

import (
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

const (
	timeout = time.Second
	calls   = 8
)

// TestSilentConnections guards against calls that time out one after another on connections that stopped answering without being closed. A
// call whose connection goes silent must time out, and the next must be answered; so must calls after others whose connections did.
func TestSilentConnections(t *testing.T) {
	server := httptest.NewServer(platform.Handler(platform.New()))
	defer server.Close()
	r, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s := storer.New(r.Address(), storer.Timeout(timeout))
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			if _, err := s.Put(t.Context(), object.New(object.KindClaim, strconv.Itoa(i))); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if r.Accepted() != calls {
		t.Errorf("%d connections for %d calls", r.Accepted(), calls)
	}
	r.Blackhole()
	if _, err := s.Put(t.Context(), object.New(object.KindClaim, "after")); err != nil {
		t.Errorf("a call after connections that went silent: %v", err)
	}
	begun := time.Now()
	r.SetDelay(timeout / 4)
	lost := make(chan error, 1)
	go func() {
		_, err := s.Put(t.Context(), object.New(object.KindClaim, "lost"))
		lost <- err
	}()
	for r.Accepted() == calls+1 {
		time.Sleep(time.Millisecond)
	}
	if r.Blackhole() == 0 {
		t.Fatal("no call was under way")
	}
	if kind := fault.KindOf[kingcupstile.Kind](<-lost); kind != kingcupstile.KindUncertain {
		t.Errorf("a write without an answer has the kind %q", kind)
	}
	r.SetDelay(0)
	if _, err := s.Get(t.Context(), object.KindClaim, "0"); err != nil {
		t.Errorf("the next call: %v", err)
	}
	if took := time.Since(begun); took > 2*timeout {
		t.Errorf("both calls took %s", took)
	}
}
