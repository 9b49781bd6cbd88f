package reserver_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/reserver"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const ms = time.Millisecond

// TestSurgeBetweenReports has many entries probe one runner between two of its reports: each announced request counts
// from its announcement on, and only once when the next report includes it.
func TestSurgeBetweenReports(t *testing.T) {
	r := reserver.New()
	if _, known := r.Load(0); known {
		t.Error("the load is known before the first report")
	}
	r.Report(rank.Load{Open: 2}, 100*ms)
	for n := range 4 {
		if got, known := r.Load(110 * ms); got.Open != 2+n || !known {
			t.Errorf("%+v after %d announcements, known %t", got, n, known)
		}
		r.Announce(110 * ms)
	}
	r.Announce(175 * ms)
	r.Report(rank.Load{Open: 6}, 180*ms)
	if got, _ := r.Load(181 * ms); got.Open != 7 {
		t.Errorf("%+v: the last announcement is not in the report yet", got)
	}
	r.Report(rank.Load{Open: 5}, 170*ms)
	r.Report(rank.Load{Open: 7}, 260*ms)
	if got, _ := r.Load(261 * ms); got.Open != 7 {
		t.Errorf("%+v after a report that includes all", got)
	}
}

// TestUnsentRequestExpires covers an entry that dies between its announcement and its request, and a runner that stops
// to report.
func TestUnsentRequestExpires(t *testing.T) {
	b := reserver.Book{}.WithReport(rank.Load{Open: 1}, 100*ms).WithAnnounced(150 * ms)
	if got, known := b.Load(390*ms, time.Second); got.Open != 2 || !known {
		t.Errorf("%+v, known %t", got, known)
	}
	if got, _ := b.Load(410*ms, time.Second); got.Open != 1 {
		t.Errorf("%+v after the announcement expired", got)
	}
	if _, known := b.Load(1200*ms, time.Second); known {
		t.Error("an old report counts as known")
	}
}

// TestRecentAnnouncements guards against a count that a report of the runner resets, as the open requests are, and against one that
// includes announcements of more than a second ago. Where cold runners are not tracked, there is no count.
func TestRecentAnnouncements(t *testing.T) {
	plain, b := reserver.Book{}, reserver.Book{}.WithCold().WithStatement(3*time.Second, 0)
	for n := range 20 {
		at := time.Duration(n) * 100 * ms
		plain, b = plain.WithAnnounced(at), b.WithAnnounced(at)
	}
	plain, b = plain.WithReport(rank.Load{Open: 1}, 1970*ms), b.WithReport(rank.Load{Open: 1}, 1970*ms)
	if got, _ := b.Load(1970*ms, time.Second); got.Recent != 10 || got.Open != 1 || got.Cold != 1030*ms {
		t.Errorf("%+v, want 10 recent ones", got)
	}
	if got, _ := b.Load(2850*ms, time.Second); got.Recent != 1 {
		t.Errorf("%+v, want 1 recent one", got)
	}
	if got, _ := plain.Load(1970*ms, time.Second); got != (rank.Load{Open: 1}) {
		t.Errorf("%+v where cold runners are not tracked", got)
	}
}

// TestColdByAnswersAndRegistration guards against a registration that is old and ends what the runner itself says, and the reverse.
func TestColdByAnswersAndRegistration(t *testing.T) {
	r := reserver.New()
	r.TrackCold()
	r.RecordRegistration(2 * time.Second)
	r.RecordStatement(0, 100*ms)
	if got := r.Cold(time.Second); got != time.Second {
		t.Errorf("cold for %v by the registration", got)
	}
	r.RecordStatement(4*time.Second, 200*ms)
	if got := r.Cold(time.Second); got != 3200*ms {
		t.Errorf("cold for %v by the answer", got)
	}
	r.RecordStatement(-time.Second, 300*ms)
	if got := r.Cold(3 * time.Second); got != 0 {
		t.Errorf("cold for %v after both ended", got)
	}
}

// TestColdRunnerIsNotOvercommitted guards against a request to a cold runner that is in no count for a moment, as it comes later than
// requests to runners with open connections: reports drop its announcement only after a longer time.
func TestColdRunnerIsNotOvercommitted(t *testing.T) {
	b := reserver.Book{}.WithCold().WithStatement(3*time.Second, 0).WithReport(rank.Load{}, 100*ms).WithAnnounced(110 * ms)
	if got, _ := b.WithReport(rank.Load{}, 140*ms).Load(141*ms, time.Second); got.Open != 1 {
		t.Errorf("%+v 30 ms after the announcement", got)
	}
	if got, _ := b.WithReport(rank.Load{Open: 1}, 180*ms).Load(181*ms, time.Second); got.Open != 1 {
		t.Errorf("%+v 70 ms after the announcement", got)
	}
	if got, _ := b.WithStatement(0, 120*ms).WithReport(rank.Load{}, 140*ms).Load(141*ms, time.Second); got.Open != 0 {
		t.Errorf("%+v of a warm runner 30 ms after the announcement", got)
	}
}
