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
	pooled  = 8
)

// TestSilentConnections guards against calls that time out one after another on dead connections: every pooled
// connection to the platform stops answering without being closed. The first call must time out, and the next must be
// answered on a new connection.
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
	for i := range pooled {
		group.Go(func() {
			if _, err := s.Put(t.Context(), object.New(object.KindClaim, strconv.Itoa(i))); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if r.Blackhole() == 0 {
		t.Fatal("no connection was pooled")
	}
	begun := time.Now()
	_, err = s.Put(t.Context(), object.New(object.KindClaim, "lost"))
	if kind := fault.KindOf[kingcupstile.Kind](err); kind != kingcupstile.KindUncertain {
		t.Errorf("a write without an answer has the kind %q", kind)
	}
	if _, err := s.Get(t.Context(), object.KindClaim, "0"); err != nil {
		t.Errorf("the next call: %v", err)
	}
	if took := time.Since(begun); took > 2*timeout {
		t.Errorf("both calls took %s", took)
	}
}
