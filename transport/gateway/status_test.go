package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
)

// TestStatusLineThatIsNone guards against bytes of a runner that are no answer of HTTP and reach a caller as one: on each kind of route it
// is told 502, without the runner's headers, and what may be repeated is sent once more.
func TestStatusLineThatIsNone(t *testing.T) {
	for _, line := range garbler.Lines() {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			g, err := garbler.New(line, garbler.Header(http.Header{"X-Server-Seal": {"seal"}}))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			d := newDeployment(t)
			d.leadTo(g)
			for path, attempts := range map[string]int{"/look/": 2, "/file/": 1, "/draft/x": 2, "/draft/once/x": 1} {
				before := g.Runs()
				a := d.call(http.MethodPost, path, "", nil)
				if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("X-Server-Seal") != "" {
					t.Errorf("%s: %+v", path, a)
				}
				if got := g.Runs() - before; got != attempts {
					t.Errorf("%s: %d attempts, want %d", path, got, attempts)
				}
			}
		})
	}
}

// TestBrokenAnswers guards against the same of heads that are none, and against answers that are not whole and look so to a caller.
func TestBrokenAnswers(t *testing.T) {
	d, g := newGarbled(t)
	for i, answer := range garbler.Broken() {
		g.SetTexts(answer.Text)
		for _, path := range []string{"/look/", "/file/", "/draft/", "/draft/once/"} {
			before := g.Runs()
			a := d.call(http.MethodPost, path+strconv.Itoa(i), "", nil)
			if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("X-Server-Seal") != "" {
				t.Errorf("%s, %s: %+v", answer, path, a)
			}
			if g.Runs() == before {
				t.Errorf("%s, %s: no request reached the runner", answer, path)
			}
		}
	}
}

// TestSoundAnswers guards against whole answers that count as broken.
func TestSoundAnswers(t *testing.T) {
	d, g := newGarbled(t)
	for i, answer := range garbler.Sound() {
		g.SetTexts(answer.Text)
		for _, path := range []string{"/look/", "/file/", "/draft/", "/draft/once/"} {
			a := d.call(http.MethodPost, path+strconv.Itoa(i), "", nil)
			if a.err != nil || a.status != http.StatusOK || a.body != `{"asOf":7,"entries":[]}` {
				t.Errorf("%s, %s: %+v", answer, path, a)
			}
		}
	}
}

// newGarbled returns a deployment whose runners are a garbler that signs its answers.
func newGarbled(t *testing.T) (*deployment, *garbler.Garbler) {
	t.Helper()
	g, err := garbler.New("", garbler.Text(""), garbler.Header(http.Header{"X-Server-Seal": {"seal"}}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	d := newDeployment(t)
	d.leadTo(g)
	return d, g
}

// leadTo has all runners be a garbler, and waits until requests go there.
func (d *deployment) leadTo(g *garbler.Garbler) {
	d.t.Helper()
	for id, service := range map[string]string{"pool-a": "pool", "pool-b": "pool", "desk-a": "desk", "desk-b": "desk"} {
		d.store.Put("servers", id, map[string]any{"service": service, "addr": g.Address(), "zone": "z", "slots": 4, "state": "ready"})
	}
	d.await("sent to the garbler", func() bool {
		before := d.runs("desk") + d.runs("pool")
		for range 3 {
			// Neither is sent twice, so that the budget for retries stays whole.
			d.call(http.MethodPost, "/file/", "", nil)
			d.call(http.MethodPost, "/draft/once/x", "", nil)
		}
		return d.runs("desk")+d.runs("pool") == before
	})
}
