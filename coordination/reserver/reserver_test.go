package reserver_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/reserver"
)

const ms = time.Millisecond

// TestSurgeBetweenReports has many entries probe one runner between two of its reports: each announced request counts
// from its announcement on, and only once when the next report includes it.
func TestSurgeBetweenReports(t *testing.T) {
	r := reserver.New()
	if _, known := r.Open(0); known {
		t.Error("the load is known before the first report")
	}
	r.Report(2, 100*ms)
	for n := range 4 {
		if got, known := r.Open(110 * ms); got != 2+n || !known {
			t.Errorf("%d open after %d announcements, known %t", got, n, known)
		}
		r.Announce(110 * ms)
	}
	r.Announce(175 * ms)
	r.Report(6, 180*ms)
	if got, _ := r.Open(181 * ms); got != 7 {
		t.Errorf("%d open: the last announcement is not in the report yet", got)
	}
	r.Report(5, 170*ms)
	r.Report(7, 260*ms)
	if got, _ := r.Open(261 * ms); got != 7 {
		t.Errorf("%d open after a report that includes all", got)
	}
}

// TestUnsentRequestExpires covers an entry that dies between its announcement and its request, and a runner that stops
// to report.
func TestUnsentRequestExpires(t *testing.T) {
	b := reserver.Book{}.WithReport(1, 100*ms).WithAnnounced(150 * ms)
	if got, known := b.Open(390*ms, time.Second); got != 2 || !known {
		t.Errorf("%d open, known %t", got, known)
	}
	if got, _ := b.Open(410*ms, time.Second); got != 1 {
		t.Errorf("%d open after the announcement expired", got)
	}
	if _, known := b.Open(1200*ms, time.Second); known {
		t.Error("an old report counts as known")
	}
}
