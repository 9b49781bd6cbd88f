package fronter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/fleet"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/transport/daemon"
)

const (
	accountKey = "amagambo-key"
	poison     = "poison"
	innocent   = "innocent"
)

// site is two entries in front of some endpoints, each of which is killed when its engine gets the body poison.
type site struct {
	fleet   *fleet.Fleet
	entries []daemon.Addresses
	mu      sync.Mutex
	killed  []string
	slow    chan struct{}
}

// newSite returns a site whose account may send limit requests a second, 0 for no limit.
func newSite(t *testing.T, endpoints, limit int) *site {
	t.Helper()
	f, err := fleet.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	s := &site{fleet: f, slow: make(chan struct{}, 100)}
	for i := range 2 {
		entry, err := f.StartEntry(fmt.Sprint("entry-", i), "kgl-a")
		if err != nil {
			t.Fatal(err)
		}
		s.entries = append(s.entries, entry)
	}
	for i := range endpoints {
		s.start(t, fmt.Sprint("draft-", i))
	}
	change := publisher.Change{
		Author: "test",
		Services: []catalog.Service{catalog.NewService("drafts",
			catalog.ServedBy(catalog.ModePlain, "drafts"), catalog.Timeout(10*time.Second),
			catalog.Repeatable("POST"), catalog.Grants(catalog.NewGrant("amagambo", limit, 0)),
		)},
		Accounts: []catalog.Account{catalog.NewAccount("amagambo", "test", caller.Hash(accountKey))},
	}
	if _, err := publisher.New(f.Store(), translator.CatalogCodec{}).Publish(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	for i := range s.entries {
		for s.call(i, "warm").status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return s
}

// start runs an endpoint; its engine kills it on the body poison and answers after a pause on the body innocent.
func (s *site) start(t *testing.T, name string) {
	t.Helper()
	engine, err := s.fleet.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch string(body) {
		case poison:
			s.mu.Lock()
			s.killed = append(s.killed, name)
			s.mu.Unlock()
			go s.fleet.Kill(name)
			<-r.Context().Done()
		case innocent:
			s.slow <- struct{}{}
			select {
			case <-time.After(300 * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		_, _ = w.Write(body)
	}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.fleet.StartEndpoint(name, "kgl-a", "drafts", engine); err != nil {
		t.Fatal(err)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	text   string
}

func (s *site) call(entry int, body string) answer { return s.callWithin(entry, body, "") }

// callWithin sends a request with a Kingcup-Timeout header, unless timeout is empty.
func (s *site) callWithin(entry int, body, timeout string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	target := "http://" + s.entries[entry].Callers + "/drafts/v1"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if timeout != "" {
		request.Header.Set("Kingcup-Timeout", timeout)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, text: string(text)}
}

func (s *site) lost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.killed)
}

func TestCrashingRequestEndsTwoEndpointsAtMost(t *testing.T) {
	s := newSite(t, 5, 0)
	var last answer
	for i := range 10 {
		last = s.call(i%2, poison)
	}
	if s.lost() != 2 {
		t.Errorf("%d endpoints were lost, want 2", s.lost())
	}
	if last.status != http.StatusUnprocessableEntity || !strings.Contains(last.text, "Do not send it again unchanged") {
		t.Errorf("got %d %s", last.status, last.text)
	}
	if other := s.call(0, "other"); other.status != http.StatusOK {
		t.Errorf("another request got %d %s", other.status, other.text)
	}
}

func TestNeighbourOfACrashIsServedAgain(t *testing.T) {
	s := newSite(t, 1, 0)
	neighbour := make(chan answer, 1)
	go func() { neighbour <- s.call(0, innocent) }()
	<-s.slow
	s.call(1, poison)
	if got := <-neighbour; got.status != http.StatusBadGateway || s.lost() != 1 {
		t.Fatalf("the neighbour got %d, %d endpoints lost", got.status, s.lost())
	}
	s.start(t, "draft-10")
	s.start(t, "draft-11")
	for s.call(0, "warm").status != http.StatusOK || s.call(1, "warm").status != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
	}
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			if got := s.call(i%2, innocent); got.status != http.StatusOK {
				t.Errorf("the neighbour's resend got %d %s", got.status, got.text)
			}
		})
	}
	group.Wait()
}

func TestCallersShortenTheDeadline(t *testing.T) {
	s := newSite(t, 1, 0)
	for timeout, want := range map[string]int{
		"100ms": http.StatusGatewayTimeout, "5s": http.StatusOK, "9h": http.StatusOK,
		"0s": http.StatusBadRequest, "-1s": http.StatusBadRequest, "soon": http.StatusBadRequest,
	} {
		if got := s.callWithin(0, innocent, timeout); got.status != want {
			t.Errorf("%s: got %d %s", timeout, got.status, got.text)
		}
	}
}

func TestLimitHoldsOverEntries(t *testing.T) {
	const limit, seconds = 20, 3
	s := newSite(t, 2, limit)
	end := time.Now().Add(seconds * time.Second)
	var mu sync.Mutex
	counts := map[int]int{}
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for time.Now().Before(end) {
				status := s.call(i%2, "a").status
				mu.Lock()
				counts[status]++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	most := limit * (seconds + 1)
	if counts[http.StatusOK] > most || counts[http.StatusOK] < limit*seconds/2 || counts[http.StatusTooManyRequests] == 0 {
		t.Errorf("%v in %d s, want at most %d to pass", counts, seconds, most)
	}
}
