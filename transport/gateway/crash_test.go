package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// crashes returns how often the runners of the pool crashed on a part of a prompt.
func (d *deployment) crashes() int {
	n := 0
	for _, r := range d.runners {
		n += r.Crashes()
	}
	return n
}

// draft sends a request for a stream whose prompt has the given parts.
func (d *deployment) draft(parts string) answer {
	return d.call(http.MethodPost, "/draft/x", parts, map[string]string{"X-Prefix-Hash": parts})
}

// TestPartOfPromptsCrashesOneRunnerAfterTheOther sends requests that share a deadly part and nothing else that would tell
// them from sound ones: after the first crash no further one reaches a runner, and all sound requests are answered.
func TestPartOfPromptsCrashesOneRunnerAfterTheOther(t *testing.T) {
	d := newDeployment(t)
	for _, name := range []string{"c", "d"} {
		d.add("pool-"+name, "pool")
	}
	for _, r := range d.runners {
		r.CrashOnPart("dead")
	}
	for n := range 4 {
		if a := d.draft(fmt.Sprintf("common:40,own%d:100", n)); a.body != events(1, 5) {
			t.Fatalf("a sound request before: %+v", a)
		}
	}
	refused := 0
	for n := range 12 {
		if a := d.draft(fmt.Sprintf("common:40,dead:700,last%d:100", n)); a.status == http.StatusServiceUnavailable {
			refused++
			if a.header.Get("Retry-After") == "" {
				t.Errorf("no time to return: %+v", a)
			}
		}
		for _, parts := range []string{"common:40,sound:700,own:100", "dead:700", "common:40,fresh%d:9,dead:700"} {
			if a := d.draft(parts); a.body != events(1, 5) {
				t.Errorf("a sound request with %s: %+v", parts, a)
			}
		}
	}
	if n := d.crashes(); n != 1 || refused != 11 {
		t.Errorf("%d crashes, %d of 12 refused", n, refused)
	}
}

// TestSoundPartBesideACrashIsTriedAndFree has a runner crash for another cause under a request with a part that was never
// answered: requests with the part are refused, until one of them is tried and answered.
func TestSoundPartBesideACrashIsTriedAndFree(t *testing.T) {
	d := newDeployment(t)
	for _, r := range d.runners {
		r.CrashOnBody("boom")
	}
	header := map[string]string{"X-Prefix-Hash": "common:40,fresh:700,own:9"}
	if a := d.call(http.MethodPost, "/draft/x", "boom", header); a.status != http.StatusBadGateway {
		t.Fatalf("the request that crashes a runner: %+v", a)
	}
	if n := d.runs("pool"); n != 1 {
		t.Errorf("the request reached %d runners", n)
	}
	if a := d.call(http.MethodPost, "/draft/x", "slip", header); a.status != http.StatusServiceUnavailable {
		t.Errorf("a request with the same part just after: %+v", a)
	}
	d.await("tried and answered", func() bool { return d.call(http.MethodPost, "/draft/x", "slip", header).status == http.StatusOK })
	for range 3 {
		if a := d.call(http.MethodPost, "/draft/x", "slip", header); a.body != events(1, 5) {
			t.Errorf("after the trial: %+v", a)
		}
	}
}

// TestDeadlyPartAmongManyIsFound hides a deadly part behind hundreds that were answered before.
func TestDeadlyPartAmongManyIsFound(t *testing.T) {
	d := newDeployment(t)
	for _, r := range d.runners {
		r.CrashOnPart("dead")
	}
	many := distinct(300)
	header := map[string]string{"X-Prefix-Hash": many + ",own:1"}
	if a := d.call(http.MethodPost, "/draft/x", "slip", header); a.body != events(1, 5) {
		t.Fatalf("a sound request: %+v", a)
	}
	for n := range 5 {
		d.call(http.MethodPost, "/draft/x", fmt.Sprint("slip ", n), map[string]string{"X-Prefix-Hash": many + ",dead:700,own:1"})
	}
	if n := d.crashes(); n != 1 {
		t.Errorf("%d crashes", n)
	}
}

// TestOddListsOfPartsAreServed sends lists of parts with thousands of entries, with the same twice, malformed, and none.
func TestOddListsOfPartsAreServed(t *testing.T) {
	d := newDeployment(t)
	for name, list := range map[string]string{
		"many": strings.Repeat("ab:1,", 1500) + "own:1", "distinct": distinct(1000), "twice the last": "own:1,own:1",
		"malformed": ",:,a:b:c,\t ,=,", "none": "", "one": "own:5",
	} {
		if a := d.call(http.MethodPost, "/draft/x", "slip", map[string]string{"X-Prefix-Hash": list}); a.body != events(1, 5) {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// distinct returns a list of n different parts.
func distinct(n int) string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%x:1", i)
	}
	return strings.Join(names, ",")
}

// TestRequestThatCrashesRunnersLateIsRefused guards against requests that crash one runner after the other in the middle of the
// answer, and against the refusal of sound ones that are there each time. Runners that crash start anew under other names.
func TestRequestThatCrashesRunnersLateIsRefused(t *testing.T) {
	d := newDeployment(t)
	arm := func(r *site.Runner, l net.Listener) {
		r.EventInterval = 20 * time.Millisecond
		r.CrashLateOnBody("poison", func() { _ = l.Close() })
	}
	for _, id := range []string{"pool-a", "pool-b"} {
		d.store.Remove("servers", id)
		delete(d.runners, id)
	}
	starts := 0
	start := func() {
		starts++
		d.add(fmt.Sprint("pool-start-", starts), "pool", arm)
	}
	start()
	start()
	restart := func() {
		for id, r := range d.runners {
			if r.Crashes() > 0 && d.addresses[id] != "" {
				d.store.Remove("servers", id)
				d.addresses[id] = ""
				start()
			}
		}
	}
	d.await("used", func() bool { return d.call(http.MethodPost, "/draft/x", "sound", nil).status == http.StatusOK })
	var last answer
	for n := range 12 {
		sound := make(chan answer, 1)
		go func() { sound <- d.call(http.MethodPost, "/draft/x", "sound", nil) }()
		last = d.call(http.MethodPost, "/draft/x", "poison", map[string]string{"X-Other": fmt.Sprint(n)})
		<-sound
		// A registration lapses only some time after the crash.
		time.Sleep(50 * time.Millisecond)
		restart()
		d.await("a sound request that was there served", func() bool {
			return d.call(http.MethodPost, "/draft/x", "sound", nil).body == events(1, 5)
		})
	}
	if n := d.crashes(); n < 3 || n > 6 {
		t.Errorf("%d crashes, want three and as many more as the platform allows", n)
	}
	if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
		t.Errorf("the last request that crashes runners got %+v", last)
	}
}
