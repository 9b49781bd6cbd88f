package fronter_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/transport/fronter"
)

// TestWithoutConfiguration calls an entry without a configuration: it must answer 503, not that the account is unknown.
func TestWithoutConfiguration(t *testing.T) {
	handler := fronter.New(func() director.State { return director.New() }, nil).Handler()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/kingcup-pool/v1/drafts", nil)
	request.Header.Set("Authorization", "Bearer amagambo-key")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("got %d %s", recorder.Code, recorder.Body)
	}
}
