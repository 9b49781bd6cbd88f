package picker_test

import (
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/picker"
)

func TestAffinity(t *testing.T) {
	prompt := strings.Repeat("p", picker.PrefixLength)
	base := picker.Affinity("drafts", "amagambo", "", []byte(prompt+"slip 1"))
	for name, test := range map[string]struct {
		service, account, conversation, body string
		same                                 bool
	}{
		"different suffix":     {"drafts", "amagambo", "", prompt + "slip 2", true},
		"different prefix":     {"drafts", "amagambo", "", "x" + prompt, false},
		"another account":      {"drafts", "shule-press", "", prompt, false},
		"another service":      {"glosses", "amagambo", "", prompt, false},
		"a named conversation": {"drafts", "amagambo", "c1", prompt, false},
		"shifted boundary":     {"draftsa", "magambo", "", prompt, false},
	} {
		t.Run(name, func(t *testing.T) {
			got := picker.Affinity(test.service, test.account, test.conversation, []byte(test.body))
			if (got == base) != test.same {
				t.Errorf("equal fingerprints: %v, want %v", got == base, test.same)
			}
		})
	}
	long := picker.Affinity("drafts", "amagambo", "c1", []byte("turn 1"))
	if long != picker.Affinity("drafts", "amagambo", "c1", []byte("turn 2")) {
		t.Error("two requests of one conversation differ")
	}
	if picker.Affinity("", "", "", nil) == 0 {
		t.Error("a fingerprint is 0, which means none")
	}
}
