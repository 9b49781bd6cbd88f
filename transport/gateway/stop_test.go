package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// newStopping returns a deployment whose entry accepts requests for 0.25 s after the stop and ends after 0.94 s.
func newStopping(t *testing.T) *deployment {
	t.Helper()
	return newDeploymentWith(t, time.Second, 200)
}

// dialKept opens a connection that is kept for several requests.
func (d *deployment) dialKept() (net.Conn, *bufio.Reader) {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.settings.Callers)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	return connection, bufio.NewReader(connection)
}

// head returns the head of a request with a body of some length, and with a deadline in ms.
func head(path string, length, deadline int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: request-%d\r\nAuthorization: Token %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", path, requests.Add(1), key, deadline, length)
}

// TestStopPassesNothingOnThatItWouldCut guards against requests that are passed on late in a planned stop, and cut with no answer when
// the process ends.
func TestStopPassesNothingOnThatItWouldCut(t *testing.T) {
	for name, test := range map[string]struct {
		path string
		// deadline is how long the caller waits, in ms.
		deadline int
		fault    site.Fault
		// begin is when the request is begun and finish when the last byte of its body is sent, in ms after the stop.
		begin, finish int
		status        int
		runs          int
		// within is how soon after its begin the request is answered, in ms.
		within int
	}{
		// Begun with the stop itself, it may be taken before the entry knows of the stop, and then has to be answered.
		"order that may end too late":         {"/file/", 1200, site.FaultNoAnswer, 50, 50, 503, 0, 200},
		"order that ends in time":             {"/file/", 300, site.FaultNone, 0, 0, 200, 1, 200},
		"order that is not answered in time":  {"/file/", 300, site.FaultNoAnswer, 0, 0, 504, 1, 500},
		"order whose body comes late":         {"/file/", 500, site.FaultNone, -100, 600, 503, 0, 600},
		"lookup whose body comes late":        {"/look/", 1200, site.FaultNone, -100, 600, 503, 0, 600},
		"stream whose body comes late":        {"/draft/", 1200, site.FaultNone, -100, 600, 503, 0, 600},
		"order before the stop, not answered": {"/file/", 1400, site.FaultNoAnswer, -100, -100, 504, 1, 1300},
		// The second run begins after a second of silence, 0.24 s before the process ends.
		"lookup before the stop, not answered": {"/look/", 1600, site.FaultNoAnswer, -300, -300, 504, 2, 1500},
		"order after the time for new ones":    {"/file/", 300, site.FaultNone, 400, 400, 503, 0, 200},
	} {
		t.Run(name, func(t *testing.T) {
			d := newStopping(t)
			d.failAll("desk", test.fault)
			connection, source := d.dialKept()
			// The process ends once nothing is in progress.
			busy := make(chan answer, 1)
			d.runners["pool-a"].EventInterval, d.runners["pool-b"].EventInterval = 150*time.Millisecond, 150*time.Millisecond
			go func() { busy <- d.call(http.MethodPost, "/draft/x", "", nil) }()
			d.await("busy", func() bool { return d.runs("pool") > 0 })
			before := d.runs("desk") + d.runs("pool")
			after := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
			stop := time.Now().Add(after(max(0, -test.begin)))
			time.AfterFunc(time.Until(stop), d.stop)
			time.Sleep(time.Until(stop.Add(after(test.begin))))
			begun := time.Now()
			_, _ = io.WriteString(connection, head(test.path, 4, test.deadline)+"sli")
			time.AfterFunc(time.Until(stop.Add(after(test.finish))), func() { _, _ = io.WriteString(connection, "p") })
			a, err := http.ReadResponse(source, nil)
			if err != nil {
				t.Fatalf("no answer after %v: %v", time.Since(begun), err)
			}
			text, err := io.ReadAll(a.Body)
			if a.StatusCode != test.status || err != nil || time.Since(begun) > after(test.within) {
				t.Errorf("status %d after %v: %s, %v", a.StatusCode, time.Since(begun), text, err)
			}
			if promised := a.StatusCode == http.StatusServiceUnavailable; promised != (a.Header.Get("Retry-After") != "") {
				t.Errorf("headers %v", a.Header)
			}
			if n := d.runs("desk") + d.runs("pool") - before; n != test.runs {
				t.Errorf("%d runs, want %d", n, test.runs)
			}
			<-busy
		})
	}
}

// TestKeptConnectionsInAStop sends orders one behind the other on kept connections until these are closed: each order that was
// sent before an answer said so is answered.
func TestKeptConnectionsInAStop(t *testing.T) {
	d := newStopping(t)
	connection, source := d.dialKept()
	time.AfterFunc(200*time.Millisecond, d.stop)
	for n := 0; ; n++ {
		if _, err := io.WriteString(connection, head("/file/", 4, 300)+"slip"); err != nil {
			t.Fatalf("order %d: %v", n, err)
		}
		a, err := http.ReadResponse(source, nil)
		if err != nil {
			t.Fatalf("order %d: %v", n, err)
		}
		text, err := io.ReadAll(a.Body)
		if err != nil || a.StatusCode != http.StatusOK || !strings.HasPrefix(string(text), "answer of desk-") {
			t.Fatalf("order %d: status %d: %s, %v", n, a.StatusCode, text, err)
		}
		if a.Close {
			break
		}
	}
}
