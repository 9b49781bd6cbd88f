package fleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// TestStatusLineThatIsNone guards against bytes of a runner that are no answer of HTTP, such as one with the status 000, and reach the
// caller of an entry as a whole answer with the status 200.
func TestStatusLineThatIsNone(t *testing.T) {
	d := newTestbed(t)
	d.fleet.Kill("desk-1")
	for i, line := range garbler.Lines() {
		g, err := garbler.New(line)
		check(t, err)
		name := "desk-" + string(rune('a'+i))
		stop := d.replaceDesk(t, name, g.Address())
		var answers []string
		for until := time.Now().Add(testTimeout); g.Runs() == 0 && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.entry+"/desk/v1/orders", strings.NewReader("order for "+name))
			check(t, err)
			q.Header.Set("Authorization", "Bearer "+key)
			a, err := http.DefaultClient.Do(q)
			check(t, err)
			text, err := io.ReadAll(a.Body)
			_ = a.Body.Close()
			if err == nil && a.StatusCode < http.StatusInternalServerError {
				answers = append(answers, a.Status+": "+string(text))
			}
		}
		if g.Runs() == 0 || len(answers) > 0 {
			t.Errorf("%q: %d requests ran, answers %q", line, g.Runs(), answers)
		}
		stop()
		g.Close()
	}
}

// replaceDesk starts an endpoint of the desk whose runner is at an address, and waits until the entry has connected to it; the function
// that it returns stops the endpoint.
func (d *testbed) replaceDesk(t *testing.T, name, runner string) (stop func()) {
	t.Helper()
	addresses, err := d.fleet.StartEndpoint(name, centre, "desk", runner)
	check(t, err)
	r, err := relay.New(addresses.Peers)
	check(t, err)
	d.relays["desk"] = r
	d.fleet.Store().PutVM(roster.NewVM(name, roster.RoleEndpoint, roster.Centre(centre), roster.Pool("desk"), roster.PeerAddress(r.Address())))
	d.awaitEndpoint(t, "desk")
	return func() {
		check(t, d.fleet.Stop(name))
		r.Close()
	}
}
