package invoker_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
)

const idle = 200 * time.Millisecond

// startRunner starts a runner whose paths answer in different ways; runs counts the calls that reach it.
func startRunner(t *testing.T, runs *atomic.Int32) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/whole", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	mux.HandleFunc("/moved", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/whole")
		w.WriteHeader(http.StatusSeeOther)
	})
	mux.HandleFunc("/half", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: whole\n\ndata: ha")
	})
	mux.HandleFunc("/cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/stuck", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestRun(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		frames int
		runs   int32
		kind   invoker.Kind
	}{
		"whole":               {"/whole", 2, 1, ""},
		"redirect is no call": {"/moved", 1, 1, ""},
		"cut before the head": {"/cut", 0, 1, invoker.KindNoResponse},
		"ends in an event":    {"/half", 2, 1, invoker.KindCut},
		"silent in an answer": {"/stuck", 2, 1, invoker.KindCut},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			frames, begun := 0, time.Now()
			a := attempt.New("r1", attempt.HTTP(http.MethodPost, test.path, nil, []byte("order")))
			err := invoker.New(startRunner(t, &runs), invoker.IdleTimeout(idle)).Run(t.Context(), a, func(attempt.Frame) { frames++ })
			if got := fault.KindOf[invoker.Kind](err); got != test.kind || frames != test.frames || runs.Load() != test.runs {
				t.Errorf("got %q, %d frames, %d runs", got, frames, runs.Load())
			}
			if took := time.Since(begun); took > 5*idle {
				t.Errorf("took %s", took)
			}
		})
	}
}

// TestRunSaysWhatNeverLeft checks that a call without a connection fails with KindUnavailable: nothing was written,
// so the attempt may be sent again.
func TestRunSaysWhatNeverLeft(t *testing.T) {
	var runs atomic.Int32
	r, err := relay.New(startRunner(t, &runs))
	if err != nil {
		t.Fatal(err)
	}
	i := invoker.New(r.Address())
	a := attempt.New("r1", attempt.HTTP(http.MethodPost, "/whole", nil, []byte("order")))
	drop := func(attempt.Frame) {}
	if err := i.Run(t.Context(), a, drop); err != nil {
		t.Fatal(err)
	}
	r.Close()
	err = i.Run(t.Context(), a, drop)
	if kind := fault.KindOf[kingcupstile.Kind](err); kind != kingcupstile.KindUnavailable || runs.Load() != 1 {
		t.Errorf("got %v after %d runs", err, runs.Load())
	}
}
