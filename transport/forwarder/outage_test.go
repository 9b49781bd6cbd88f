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
	took := time.Since(start)
	after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	if a.Code != http.StatusServiceUnavailable || err != nil || after < 1 || after > 5.0/3 || took > 50*time.Millisecond+scheduling {
		t.Errorf("status %d after %v, headers %v", a.Code, took, a.Header())
	}
	if w.runs() != 0 {
		t.Errorf("%d requests reached the group", w.runs())
	}
}

// TestReturnFollowsFromTheTimeLeft has runners down for some seconds: a caller is told to return when they are back, or within a
// third of the time that it has, as it returns then in any case; one whose work cannot be done in its time is told a time after that.
func TestReturnFollowsFromTheTimeLeft(t *testing.T) {
	const usual = 250 * time.Millisecond
	for name, test := range map[string]struct {
		path                  string
		deadline, least, most time.Duration
	}{
		"much time":               {"/draft/x", 5 * time.Second, time.Second, 5 * time.Second / 3},
		"some time":               {"/look/x", 900 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond},
		"too little for its work": {"/look/x", 240 * time.Millisecond, 240 * time.Millisecond, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			for _, r := range w.runners {
				r.PauseOnBody("usual", usual)
			}
			w.callWith("/look/x", "usual")
			w.setGroup(1, 70, false)
			w.forwarder.RecordLoss("pool", w.Now())
			time.Sleep(400 * time.Millisecond)
			a := w.callWithin(test.path, "slip", test.deadline)
			after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
			got := time.Duration(after * float64(time.Second))
			if a.Code != http.StatusServiceUnavailable || err != nil || got < test.least || got > test.most {
				t.Errorf("status %d, headers %v", a.Code, a.Header())
			}
		})
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
