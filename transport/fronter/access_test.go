package fronter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/fronter"
)

const key = "amagambo-key"

// link answers every attempt with an event stream that goes on until ended is closed.
type link struct{ ended chan struct{} }

func (l link) Run(context.Context, attempt.Attempt) (kingcupstile.FrameReader, error) {
	return &reader{link: l}, nil
}

func (l link) Resume(_ context.Context, a attempt.Attempt, _ uint64) (kingcupstile.FrameReader, error) {
	reason := attempt.ReasonOtherOwner
	if a.Account() == "amagambo" && a.Request() == "mine" {
		reason = attempt.ReasonOffsetBeyondEnd
	}
	return &reader{link: l, end: reason}, nil
}

func (l link) Settle(context.Context, attempt.Attempt) (attempt.Outcome, error) {
	return attempt.OutcomeUnknown, nil
}

// reader is a stream of events, or one last frame.
type reader struct {
	link link
	end  string
	next uint64
}

func (r *reader) Next(context.Context) (attempt.Frame, error) {
	offset := r.next
	r.next++
	if r.end != "" {
		return attempt.NewFrame(0, attempt.Last(attempt.OutcomeUnknown, r.end)), nil
	}
	if offset == 0 {
		return attempt.NewFrame(0, attempt.Status(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})), nil
	}
	select {
	case <-r.link.ended:
		return attempt.NewFrame(offset, attempt.Last(attempt.OutcomeRan, "")), nil
	case <-time.After(10 * time.Millisecond):
		return attempt.NewFrame(offset, attempt.Data([]byte("data: line\n\n"))), nil
	}
}

// HasBuffered reports false: each event comes by itself.
func (*reader) HasBuffered() bool { return false }

// Close does nothing.
func (*reader) Close() error { return nil }

// testEntry is an entry whose configuration the tests change.
type testEntry struct {
	state  atomic.Pointer[director.State]
	scope  tally.TestScope
	server *httptest.Server
}

func newTestEntry(t *testing.T, ended chan struct{}) *testEntry {
	t.Helper()
	s := &testEntry{scope: tally.NewTestScope("", nil)}
	state := director.New()
	state, _ = director.Step(state, director.RosterReceived{Roster: roster.New(1,
		roster.NewVM("desk-1", roster.RoleEndpoint, roster.Pool("desk")), roster.NewVM("draft-1", roster.RoleEndpoint, roster.Pool("draft")))})
	state, _ = director.Step(state, director.ReportReceived{Endpoint: "desk-1", Report: roster.NewReport("first", time.Now())})
	s.state.Store(&state)
	s.configure(1, catalog.NewGrant("amagambo", 0, 0))
	f := fronter.New(func() director.State { return *s.state.Load() }, link{ended: ended}, fronter.Metrics(s.scope))
	s.server = httptest.NewServer(f.Handler())
	t.Cleanup(s.server.Close)
	return s
}

// configure puts a configuration in force that grants the service to the given accounts only.
func (s *testEntry) configure(version uint64, grants ...catalog.Grant) {
	desk := catalog.NewService("desk", catalog.ServedBy(catalog.ModePlain, "desk"), catalog.Timeout(time.Minute), catalog.Grants(grants...))
	c := catalog.New(catalog.Services(desk), catalog.Accounts(
		catalog.NewAccount("amagambo", "", caller.Hash(key)), catalog.NewAccount("other", "", caller.Hash("other-key"))))
	state, _ := director.Step(*s.state.Load(), director.CatalogReceived{Catalog: c.WithVersion(version), At: time.Now()})
	s.state.Store(&state)
}

func (s *testEntry) failed(reason string) int64 {
	n := int64(0)
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name() == "failed" && c.Tags()["reason"] == reason {
			n += c.Value()
		}
	}
	return n
}

func TestHostileRequests(t *testing.T) {
	s := newTestEntry(t, nil)
	far := "kt1~desk-1~first~" + "zzzzzzzz" + "~n"
	const idempotency, last = "Idempotency-Key", "Last-Event-ID"
	type request struct{ key, path, header, value, body string }
	for name, test := range map[string]struct {
		request         request
		status          int
		outcome, reason string
	}{
		"no such account":            {request{"x", "/desk/a", "", "", ""}, 401, "not-run", "account"},
		"no such account, own key":   {request{"x", "/desk/a", idempotency, "k", ""}, 401, "unknown", "account"},
		"service of another account": {request{"other-key", "/desk/a", "", "", ""}, 404, "not-run", "service"},
		"no such service":            {request{key, "/desks/a", "", "", ""}, 404, "not-run", "service"},
		"ticket of another account": {
			request{"other-key", "/-/tickets/desk", "", "", ""}, 404, "not-run", "service",
		},
		"no such route":   {request{key, "/", "", "", ""}, 404, "not-run", "route"},
		"dot segments":    {request{key, "/desk/v1/%2e%2e/orders", "", "", ""}, 400, "not-run", "path"},
		"NUL in the path": {request{key, "/desk/%00", "", "", ""}, 400, "not-run", "path"},
		"escaped service": {request{key, "/%64esk/a", "", "", ""}, 400, "not-run", "path"},
		"large headers": {
			request{key, "/desk/a", "X-A", strings.Repeat("a", 40<<10), ""}, 431, "not-run", "headers",
		},
		"large body":       {request{key, "/desk/a", "", "", strings.Repeat("a", 5<<20)}, 413, "not-run", "body"},
		"empty key":        {request{key, "/desk/a", idempotency, "", ""}, 400, "not-run", "key"},
		"long key":         {request{key, "/desk/a", idempotency, strings.Repeat("k", 256), ""}, 400, "not-run", "key"},
		"key beyond ASCII": {request{key, "/desk/a", idempotency, "igitabo\xff", ""}, 400, "not-run", "key"},
		"half a ticket":    {request{key, "/desk/a", idempotency, "kt1~desk-1", ""}, 400, "unknown", "key"},
		"ticket for ever":  {request{key, "/desk/a", idempotency, far, ""}, 400, "unknown", "key"},
		"ticket of the past": {
			request{key, "/desk/a", idempotency, "kt1~desk-1~first~1~n", ""}, 410, "unknown", "key-expired",
		},
		"no position": {request{key, "/desk/a", last, "7", ""}, 400, "unknown", "position"},
		"offset below nothing": {
			request{key, "/desk/a", last, "desk-1~first~mine~1~-1", ""}, 400, "unknown", "position",
		},
		"offset beyond numbers": {
			request{key, "/desk/a", last, "desk-1~first~mine~1~99999999999999999999", ""}, 400, "unknown", "position",
		},
		"offset beyond the end": {
			request{key, "/desk/a", last, "desk-1~first~mine~1~999", ""}, 416, "unknown", "beyond",
		},
		"stream of another account": {
			request{key, "/desk/a", last, "desk-1~first~theirs~1~2", ""}, 404, "unknown", "foreign",
		},
		"stream of another pool": {
			request{key, "/desk/a", last, "draft-1~first~mine~1~2", ""}, 404, "unknown", "position",
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := s.failed(test.reason)
			body := strings.NewReader(test.request.body)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+test.request.path, body)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+test.request.key)
			if test.request.header != "" {
				request.Header.Set(test.request.header, test.request.value)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			got := response.Header.Get(explainer.HeaderOutcome)
			if response.StatusCode != test.status || got != test.outcome || response.Header.Get("Content-Type") != explainer.ContentType {
				text, _ := io.ReadAll(response.Body)
				t.Errorf("got %d %q, want %d %q: %s", response.StatusCode, got, test.status, test.outcome, text)
			}
			if n := s.failed(test.reason) - before; n != 1 {
				t.Errorf("counted %d times as %q", n, test.reason)
			}
		})
	}
}

// TestWithdrawnStreamEnds checks that a stream ends when a new configuration takes the service from its account.
func TestWithdrawnStreamEnds(t *testing.T) {
	s := newTestEntry(t, make(chan struct{}))
	events, withdrawn := 0, false
	err := caller.New(key).Stream(t.Context(), s.server.URL+"/desk/a", nil, nil, func(e caller.Event) bool {
		events++
		if events == 3 {
			s.configure(2, catalog.NewGrant("other", 0, 0))
		}
		withdrawn = withdrawn || (e.Name == "error" && strings.Contains(e.Data, `"withdrawn"`))
		return events < 100
	})
	if err == nil || !withdrawn || events > 6 {
		t.Errorf("%d events, withdrawn %t, %v", events, withdrawn, err)
	}
}
