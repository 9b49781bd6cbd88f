package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// wholeStream is the body of a stream of five events.
func wholeStream() string {
	var b strings.Builder
	for n := range 5 {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n+1, n+1)
	}
	return b.String()
}

// TestCallersReturnWhenTheRunnersAreBack loses a rank of a group: once that is certain, requests are refused at once and told
// to return later than a moment, but within the time that they have left.
func TestCallersReturnWhenTheRunnersAreBack(t *testing.T) {
	w := newWorld(t, 3)
	w.setGroup(1, 70, false)
	w.forwarder.RecordLoss("pool", w.Now())
	time.Sleep(400 * time.Millisecond)
	start := time.Now()
	a := w.call()
	after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	if a.Code != http.StatusServiceUnavailable || err != nil || after < 1 || after > 5.0/3 || time.Since(start) > target/4 {
		t.Errorf("status %d after %v, headers %v", a.Code, time.Since(start), a.Header())
	}
	if w.runs() != 0 {
		t.Errorf("%d requests reached the group", w.runs())
	}
}

// TestRequestWaitsForRunnersThatAreBackSoon forms the group anew while a request waits.
func TestRequestWaitsForRunnersThatAreBackSoon(t *testing.T) {
	w := newWorld(t, 3)
	w.setGroup(1, 70, false)
	w.forwarder.RecordLoss("pool", w.Now())
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- w.call() }()
	time.Sleep(700 * time.Millisecond)
	if w.runs() != 0 {
		t.Error("the request was sent to a group that is down")
	}
	w.setGroup(2, 0, true)
	if a := <-answered; a.Code != http.StatusOK || a.Body.String() != wholeStream() {
		t.Errorf("status %d: %s", a.Code, a.Body)
	}
}

// TestAnswerThatIsNoStreamWaitsForRunners guards against requests that are refused in an outage although their callers wait for
// as long as they said: only streams are left for the lack of an event.
func TestAnswerThatIsNoStreamWaitsForRunners(t *testing.T) {
	w := newWorld(t, 3)
	w.setGroup(1, 70, false)
	w.forwarder.RecordLoss("pool", w.Now())
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- w.callWith("/look/x", "slip") }()
	time.Sleep(patience + 200*time.Millisecond)
	w.setGroup(2, 0, true)
	if a := <-answered; a.Code != http.StatusOK {
		t.Errorf("status %d: %s", a.Code, a.Body)
	}
}

// TestLostRunnerOfAGroupThatGoesOn tells of a loss while the group goes on making passes, as when a single connection was
// reset: requests are held up for a moment only.
func TestLostRunnerOfAGroupThatGoesOn(t *testing.T) {
	w := newWorld(t, 3)
	w.setGroup(1, 70, true)
	step := uint64(70)
	w.onProbe = func() {
		step++
		w.setGroup(1, step, true)
	}
	w.forwarder.RecordLoss("pool", w.Now())
	start := time.Now()
	if a := w.call(); a.Code != http.StatusOK || time.Since(start) > time.Second {
		t.Errorf("status %d after %v", a.Code, time.Since(start))
	}
}

// TestStreamGoesOnWhenTheRunnersAreBack cuts a stream as a rank is lost: it is not ended, and goes on where it was cut.
func TestStreamGoesOnWhenTheRunnersAreBack(t *testing.T) {
	w := newWorld(t, 3)
	w.setGroup(1, 70, true)
	for _, r := range w.runners {
		r.EventInterval = 40 * time.Millisecond
		r.SetFault(site.FaultTruncated)
	}
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- w.call() }()
	for w.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.setGroup(1, 70, false)
	w.forwarder.RecordLoss("pool", w.Now())
	time.Sleep(500 * time.Millisecond)
	for _, r := range w.runners {
		r.SetFault(site.FaultNone)
	}
	w.setGroup(2, 0, true)
	if a := <-answered; a.Code != http.StatusOK || a.Body.String() != wholeStream() {
		t.Errorf("status %d: %s", a.Code, a.Body)
	}
	if w.runs() != 2 {
		t.Errorf("%d runs", w.runs())
	}
}
