package fronter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/fronter"
)

// failingLink is a link that records attempts and fails to send them.
type failingLink struct{ attempts []attempt.Attempt }

func (n *failingLink) Run(_ context.Context, a attempt.Attempt) (kingcupstile.FrameReader, error) {
	n.attempts = append(n.attempts, a)
	return nil, fault.New("run", kingcupstile.KindUnavailable, nil)
}

func (n *failingLink) Resume(context.Context, attempt.Attempt, uint64) (kingcupstile.FrameReader, error) {
	return nil, fault.New("resume", kingcupstile.KindUnavailable, nil)
}

func (n *failingLink) Settle(context.Context, attempt.Attempt) (attempt.Outcome, error) {
	return attempt.OutcomeUnknown, nil
}

// oneEndpoint returns the control state of an entry with one service that has one endpoint.
func oneEndpoint() director.State {
	now := time.Now()
	state := director.New(director.Self("entry-1", "kgl-a"))
	for _, event := range []director.Event{
		director.CatalogReceived{At: now, Catalog: catalog.New(catalog.Version(1),
			catalog.Services(catalog.NewService("drafts", catalog.ServedBy(catalog.ModePlain, "drafts"),
				catalog.Timeout(time.Minute), catalog.Grants(catalog.NewGrant("amagambo", 0, 0)))),
			catalog.Accounts(catalog.NewAccount("amagambo", "test", caller.Hash("amagambo-key"))))},
		director.RosterReceived{At: now, Roster: roster.New(1,
			roster.NewVM("entry-1", roster.RoleEntry, roster.Centre("kgl-a")),
			roster.NewVM("draft-1", roster.RoleEndpoint, roster.Centre("kgl-a"), roster.Pool("drafts"), roster.PeerAddress("127.0.0.1:1")))},
		director.ReportReceived{Endpoint: "draft-1", Report: roster.NewReport("first", now)},
	} {
		state, _ = director.Step(state, event)
	}
	return state
}

// TestCorrelationReachesTheRunner checks that the caller and the attempt's headers get the same identifier.
func TestCorrelationReachesTheRunner(t *testing.T) {
	for name, given := range map[string]string{"given": "slip-7.retry_2", "missing": "", "hostile": "a b"} {
		t.Run(name, func(t *testing.T) {
			link := &failingLink{}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/drafts/v1/drafts", nil)
			request.Header.Set("Authorization", "Bearer amagambo-key")
			request.Header.Set(fronter.HeaderCorrelation, given)
			recorder := httptest.NewRecorder()
			fronter.New(oneEndpoint, link).Handler().ServeHTTP(recorder, request)
			if len(link.attempts) == 0 {
				t.Fatalf("nothing was sent: %d %s", recorder.Code, recorder.Body)
			}
			received, sent := recorder.Header().Get(fronter.HeaderCorrelation), link.attempts[0].Header().Get(fronter.HeaderCorrelation)
			if received == "" || received != sent || (name == "given") != (received == given) {
				t.Errorf("the caller got %q, the attempt %q", received, sent)
			}
		})
	}
}
