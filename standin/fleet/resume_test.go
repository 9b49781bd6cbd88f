package fleet_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
)

// TestStreamOutlivesItsEntry kills the entry in the middle of a stream. The caller resumes at another entry after the
// last event that it received, and must get every line once and in order.
func TestStreamOutlivesItsEntry(t *testing.T) {
	d := newTestbed(t)
	second, err := d.fleet.StartEntry("entry-2", centre)
	check(t, err)
	body, err := json.Marshal(engine.Draft{Slip: "slip-7", Lines: lines})
	check(t, err)
	seen, position, ended := 0, "", false
	receive := func(e caller.Event) bool {
		var line engine.Line
		if ended = e.Data == engine.End; !ended {
			if json.Unmarshal([]byte(e.Data), &line) != nil || line.Line != seen+1 {
				t.Errorf("received %q after line %d", e.Data, seen)
			}
			seen, position = seen+1, e.ID
		}
		if seen == lines/2 {
			d.fleet.Kill("entry-1")
		}
		return true
	}
	if err := caller.New(key).Stream(t.Context(), d.entry+"/draft/v1/drafts", nil, body, receive); err == nil {
		t.Fatal("the stream ended without an error though its entry was killed")
	}
	for until := time.Now().Add(testTimeout); !ended && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		header := http.Header{"Last-Event-Id": {position}}
		err = caller.New(key).Stream(t.Context(), "http://"+second.Callers+"/draft/v1/drafts", header, nil, receive)
	}
	if err != nil || !ended || seen != lines {
		t.Errorf("received %d lines of %d, ended %t, error %v", seen, lines, ended, err)
	}
}
