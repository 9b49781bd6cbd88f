package normalizer_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/protocol/normalizer"
)

func TestInteger(t *testing.T) {
	for number, want := range map[string]string{
		"90": "90", "90.0": "90", "9e1": "90", "9.0E+1": "90", "900e-1": "90", "-4.0": "-4", "0.0": "0", "-0.0": "0",
		"1733529600000.0": "1733529600000", "18446744073709551615": "18446744073709551615",
		"1.5": "", "1e-1": "", "1e99": "", "1e400": "", "9007199254740994.0": "",
	} {
		if got, isWhole := normalizer.Integer([]byte(number)); string(got) != want || isWhole != (want != "") {
			t.Errorf("%s: %q, %t", number, got, isWhole)
		}
	}
}

func TestIntegers(t *testing.T) {
	for text, want := range map[string]string{
		`{"weight": 90.0, "share":0.5}`:  `{"weight": 90, "share":0.5}`,
		`[1.0,2e0 ,-3.0]`:                `[1,2 ,-3]`,
		`{"a 1.0":"7.0 \" 8.0","b":9.0}`: `{"a 1.0":"7.0 \" 8.0","b":9}`,
		`4.0`:                            `4`, `"open 5.0`: `"open 5.0`, ``: ``, `"\`: `"\`,
	} {
		if got := string(normalizer.Integers([]byte(text))); got != want {
			t.Errorf("%s: %s", text, got)
		}
	}
}

// FuzzIntegers guards against text that has another value afterwards.
func FuzzIntegers(f *testing.F) {
	f.Add([]byte(`{"a":[90.0,1e3,-0.5,"1.0\\\"2.0"],"b":{"c":1e400}}`))
	f.Add([]byte(`[9007199254740993.0, 123456789012345678901234567890.0]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var before, after any
		if json.Unmarshal(text, &before) != nil {
			return
		}
		if err := json.Unmarshal(normalizer.Integers(text), &after); err != nil || !cmp.Equal(before, after) {
			t.Errorf("%q is %v, was %v: %v", text, after, before, err)
		}
	})
}
