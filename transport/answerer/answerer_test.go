package answerer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/detector"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/transport/answerer"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

const incarnation = attempt.Incarnation("first")

// counted is an engine that counts attempts started and in progress.
type counted struct{ started, running atomic.Int64 }

func (c *counted) Run(_ context.Context, _ attempt.Attempt, emit func(attempt.Frame)) error {
	c.started.Add(1)
	c.running.Add(1)
	defer c.running.Add(-1)
	time.Sleep(time.Second)
	emit(attempt.NewFrame(0, attempt.Status(http.StatusOK, nil)))
	return nil
}

func runRequest(t *testing.T, request string) *http.Request {
	t.Helper()
	soon := time.Now().Add(time.Minute)
	a := attempt.New(request, attempt.To("desk-1", incarnation), attempt.Deadline(soon), attempt.Expiry(soon))
	var body bytes.Buffer
	if err := messenger.Write(&body, messenger.EncodeAttempt(a)); err != nil {
		t.Fatal(err)
	}
	return httptest.NewRequestWithContext(t.Context(), http.MethodPost, dialer.PathRun, &body)
}

// TestDrainWaitsForQueuedAttempts drains while an admission is still in the control queue: Wait must not return before
// that attempt has run.
func TestDrainWaitsForQueuedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &counted{}
		a := answerer.New(incarnation, engine)
		handler := a.Handler()
		ctx, cancel := context.WithCancel(t.Context())
		go handler.ServeHTTP(httptest.NewRecorder(), runRequest(t, "r1"))
		synctest.Wait()
		waited := make(chan error, 1)
		go func() {
			if err := a.Drain(ctx); err != nil {
				waited <- err
				return
			}
			waited <- a.Wait(ctx)
		}()
		synctest.Wait()
		go a.Run(ctx)
		if err := <-waited; err != nil {
			t.Fatal(err)
		}
		if started, running := engine.started.Load(), engine.running.Load(); started != 1 || running != 0 {
			t.Errorf("%d attempts started and %d run after Wait, want 1 and 0", started, running)
		}
		cancel()
		synctest.Wait()
	})
}

// stuck is an engine that makes no progress until its attempt is cancelled.
type stuck struct{}

func (stuck) Run(ctx context.Context, _ attempt.Attempt, _ func(attempt.Frame)) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestReportTellsOfStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := answerer.New(incarnation, stuck{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		request := runRequest(t, "r1").WithContext(ctx)
		go a.Handler().ServeHTTP(httptest.NewRecorder(), request)
		for _, want := range []struct {
			after   time.Duration
			stalled bool
		}{{time.Second, false}, {detector.StallTimeout, true}} {
			time.Sleep(want.after)
			answer := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, wire.EndpointPathPrefix+"Report", strings.NewReader("{}"))
			r.Header.Set("Content-Type", "application/json")
			a.Handler().ServeHTTP(answer, r)
			if got := strings.Contains(answer.Body.String(), `"stalled":true`); got != want.stalled {
				t.Errorf("%v later the report is %s", want.after, answer.Body)
			}
		}
		cancel()
		synctest.Wait()
	})
}
