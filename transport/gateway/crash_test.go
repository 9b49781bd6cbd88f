package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
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
