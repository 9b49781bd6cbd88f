package commands_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// TestDaemonStopsSendingToDrainedCentre guards against a daemon that does not read what operators drain although its settings say so.
func TestDaemonStopsSendingToDrainedCentre(t *testing.T) {
	_, address, _, store := startPlatformEntryBefore(t, site.NewRunner("pool-a"), io.Discard, map[string]any{"evacuate": "5s"})
	status := func() int {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/draft/x", strings.NewReader("slip"))
		check(t, err)
		r.Host = "h.example"
		r.Header.Set("X-Request-Id", "request-1")
		answer, err := http.DefaultClient.Do(r)
		check(t, err)
		defer func() { _ = answer.Body.Close() }()
		return answer.StatusCode
	}
	for _, test := range []struct {
		change func()
		want   int
	}{
		{func() {}, http.StatusOK},
		{func() { store.Put("evacuations", "z", map[string]any{}) }, http.StatusServiceUnavailable},
		{func() { store.Remove("evacuations", "z") }, http.StatusOK},
	} {
		test.change()
		got := 0
		for end := time.Now().Add(5 * time.Second); got != test.want && time.Now().Before(end); time.Sleep(retryPause) {
			got = status()
		}
		if got != test.want {
			t.Fatalf("status %d, want %d", got, test.want)
		}
	}
}
